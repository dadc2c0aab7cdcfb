// Package trace explains jobs from the logs of all hosts: what happened to a job, and what its time was spent on.
package trace
