// Package events records the timeline: a ring buffer of events per process, stamped by a hybrid logical clock.
package events
