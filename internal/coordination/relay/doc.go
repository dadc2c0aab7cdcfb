// Package relay passes requests that a host cannot serve for want of the store on to a host that reaches it.
package relay
