// Package logs writes structured log lines without ever blocking who logs.
package logs
