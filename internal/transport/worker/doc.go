// Package worker calls workers over HTTP with JSON bodies.
package worker
