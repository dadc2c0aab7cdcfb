//go:build review3

// Command stand3 plays the platform's store, the workers and the callers of a small deployment, starts its hosts as
// processes, and runs one case of the third review.
package main
