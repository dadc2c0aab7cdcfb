// Package standin plays the platform, its workers and callers in tests and in the demo.
package standin
