// Package rest is a client for HTTP/JSON calls that tolerates unresponsive connections.
package rest
