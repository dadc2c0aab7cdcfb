// Command standin plays the platform, workers and callers in tests and in the demo.
package main
