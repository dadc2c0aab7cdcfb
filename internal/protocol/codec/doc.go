// Package codec carries net/rpc calls as length-delimited protobuf messages.
package codec
