// Package clock is the only place that reads the time, sleeps or starts timers.
package clock
