// Package guard bounds the memory, connections and time that the clients of HTTP servers can make a process hold.
package guard
