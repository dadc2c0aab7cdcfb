// Package entry serves callers over HTTP and JSON.
package entry
