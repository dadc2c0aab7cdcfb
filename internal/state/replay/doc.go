// Package replay plays recorded time lines through a scheduling policy and measures what became of the jobs.
package replay
