// Package codec implements net/rpc codecs that encode calls as length-delimited protobuf messages.
package codec
