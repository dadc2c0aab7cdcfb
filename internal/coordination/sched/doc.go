// Package sched schedules the jobs of one failure domain on the host that owns it.
//
// A Scheduler exists for the lifetime of its process and runs one ownership for each term in which the host is the owner.
// In an ownership a single goroutine uses the planner and applies its decisions, and each attempt of a gang runs in a
// goroutine of its own.
package sched
