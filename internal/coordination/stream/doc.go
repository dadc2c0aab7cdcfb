// Package stream follows and writes the system's stream in the platform's log, and keeps serving while the log does not.
package stream
