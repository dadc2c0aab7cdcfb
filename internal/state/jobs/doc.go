// Package jobs holds jobs with their steps and units, encodes them as records of the store, and rebuilds them from these
// records.
//
// A unit is a set of tasks that start together: all tasks of a gang, or one task of a step with independent tasks.
package jobs
