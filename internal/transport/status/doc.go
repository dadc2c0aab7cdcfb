// Package status serves health, metrics, the timeline, and the state of hosts, workers and idempotency keys, read-only.
package status
