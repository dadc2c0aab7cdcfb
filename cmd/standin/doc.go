// Command standin plays the platform or a range of workers in tests and in the demo.
package main
