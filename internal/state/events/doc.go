// Package events keeps the time line: a bounded ring per process, stamped by a hybrid logical clock.
package events
