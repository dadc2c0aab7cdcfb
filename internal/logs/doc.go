// Package logs writes structured log lines without blocking the goroutines that log.
package logs
