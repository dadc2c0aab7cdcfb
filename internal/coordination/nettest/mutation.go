package nettest

import "testing"

// RunWithMutation runs f as it is and again with the mutation that turns the mechanism off, so that the test shows that
// it detects the loss of the mechanism.
func RunWithMutation(t *testing.T, mechanism, mutation string, f func(t *testing.T, mutate bool)) {
	t.Helper()
	t.Run(mechanism, func(t *testing.T) { f(t, false) })
	t.Run("mutation "+mutation, func(t *testing.T) { f(t, true) })
}
