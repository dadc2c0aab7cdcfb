// Package plan decides which jobs the owner of a failure domain starts, stops and refuses.
//
// A Planner is not safe for concurrent use, does no input or output, and never reads a clock.
package plan
