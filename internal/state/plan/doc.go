// Package plan decides what the owner of a failure domain starts, stops and refuses.
//
// A Planner is driven by one goroutine, does no input or output, and never reads a clock.
package plan
