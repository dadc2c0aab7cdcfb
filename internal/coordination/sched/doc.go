// Package sched runs the scheduling of one failure domain on the host that owns it.
//
// A Sched lives as long as its process. For each term that the host owns it runs one ownership: a single goroutine holds
// the planner and applies its decisions, and each attempt of a gang has a goroutine of its own.
package sched
