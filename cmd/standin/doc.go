// Command standin simulates the platform, the workers and the callers in tests and in the demo.
package main
