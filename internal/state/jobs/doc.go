// Package jobs holds the jobs of a service, their steps and units, and folds the records that keep them.
//
// A unit is what starts together: all tasks of a gang, or one task of a step whose tasks are independent.
package jobs
