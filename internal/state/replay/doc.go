// Package replay simulates scheduling policies on recorded traces and reports outcomes, waits and completion times of
// the jobs.
package replay
