package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestIsID guards against jobs that are refused for the case of the digits that their callers chose.
func TestIsID(t *testing.T) {
	for _, s := range []string{"5c0e7a21d94b36f8", "5C0E7A21D94B36F8", "5c0E7a21D94b36f8", "0000000000000000"} {
		require.True(t, IsID(s), s)
	}
	for _, s := range []string{"", "5c0e7a21d94b36f", "5c0e7a21d94b36f80", "5c0e7a21d94b36g8", "5c0e7a21/94b36f8", "5c0e7a21d94b36f8\n"} {
		require.False(t, IsID(s), s)
	}
}
