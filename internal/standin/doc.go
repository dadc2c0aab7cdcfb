// Package standin plays the platform and its workers in tests and in the demo.
package standin
