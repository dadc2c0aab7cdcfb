// Package status serves health, metrics, the time line and the books to operators, read-only.
package status
