package tests

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestKilledOwnerIsReplacedAndItsGangsAreAdopted(t *testing.T) {
	f := newFleet(t, domain{"east", 3}, domain{"west", 1})
	f.start()
	long := registrationJob(f.keyWithHome("east", 1))
	long.Work = encodeWork(5*time.Second, 1000)
	running := f.submitAccepted("west-1", long)
	f.awaitStart(running, 2)
	old := f.owner("west-1", "east")
	if old == "" {
		old = f.awaitOwner("east")
	}
	f.kill(old)
	begin := time.Now()
	q := registrationJob(f.keyWithHome("east", 2))
	job := f.submitAccepted("west-1", q)
	f.awaitStart(job, 2)
	t.Logf("urgent job started %s after the owner was killed", time.Since(begin))
	f.requireDone("west-1", job, 2)
	f.requireDone("west-1", running, 2)
	require.NotEqual(t, old, f.awaitOwner("east"))
	again := f.awaitOutcome("west-1", f.resubmit("west-1", q))
	require.Equal(t, f.awaitOutcome("west-1", job).GetAnswerDigest(), again.GetAnswerDigest())
	f.requireOnce(job, 2)
}
