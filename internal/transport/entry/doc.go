// Package entry serves the job API for callers over HTTP with JSON bodies.
package entry
