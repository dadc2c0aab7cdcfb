// Package worker commands workers over HTTP/JSON.
package worker
