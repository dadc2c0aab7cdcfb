// Package metric collects metrics with tally and serves them in the Prometheus text format.
package metric
