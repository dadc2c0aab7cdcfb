// Package cost says what it costs the callers that a job waits, is stopped or is started in vain.
//
// All functions work on values that they are given; none reads a clock or does input or output.
package cost
