// Package queue holds the configuration of the queues into which jobs are handed, and of the organisations that own them.
package queue
