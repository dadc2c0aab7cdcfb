// Package metric counts with tally and serves the counts in the common text exposition format.
package metric
