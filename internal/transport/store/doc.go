// Package store accesses the platform's log and host list over HTTP with JSON bodies.
package store
