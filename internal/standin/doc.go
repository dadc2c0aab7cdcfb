// Package standin simulates the platform, its workers and callers for tests and the demo.
package standin
