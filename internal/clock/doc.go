// Package clock is the only package that reads the time, sleeps or starts timers.
package clock
