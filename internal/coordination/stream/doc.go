// Package stream replicates the records of the platform's log to every host. Records are delivered in offset order and
// deduplicated by id; while the log is unavailable, they are fetched from peers.
package stream
