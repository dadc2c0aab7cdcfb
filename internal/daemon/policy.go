package daemon

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/notice"
	"github.com/auburncleat/auburncleat/internal/coordination/policy"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/pkg/errors"
)

// errUnfitGuarantees is returned when the workers cannot hold all guarantees at the same time.
var errUnfitGuarantees = errors.New("guarantees do not fit the workers")

// checkGuarantees returns an error that lists the guarantees that the workers cannot hold at the same time.
func checkGuarantees(ws []fleet.Worker, ps []config.Profile) error {
	byName := map[string]config.Profile{}
	for _, p := range ps {
		byName[p.Name] = p
	}
	unfit := plan.FindUnfitGuarantees(ws, byName)
	if len(unfit) == 0 {
		return nil
	}
	var texts []string
	for _, u := range unfit {
		texts = append(texts, u.String())
	}
	return fmt.Errorf("%w: %s", errUnfitGuarantees, strings.Join(texts, "; "))
}

// listPolicyMembers returns all live hosts with the offset of the configuration that they have in force.
func (d *Daemon) listPolicyMembers() []policy.Member {
	var out []policy.Member
	for _, h := range d.hostViews() {
		out = append(out, policy.Member{Name: h.Name, Domain: h.Domain, Offset: h.ConfigOffset})
	}
	return out
}

// observeWait reports how long a job waited, so that slowdowns without a notice are counted.
func (d *Daemon) observeWait(j fleet.Job, waited time.Duration) {
	d.notices.Observe(notice.ObservedWait{
		Organisation: j.Organisation,
		Profile:      j.Profile,
		Domain:       j.Domain,
		Wait:         waited,
		Cause:        "queue",
	})
}

// hostRank returns the rank of this host among the live hosts of all failure domains, in order of their names.
func (d *Daemon) hostRank() int {
	n := 0
	for _, h := range d.hostViews() {
		if h.Name < d.settings.Host.Name {
			n++
		}
	}
	return n
}

// ownsDomain reports whether this host is the owner of the failure domain.
func (d *Daemon) ownsDomain(domain string) bool {
	return domain == d.settings.Host.Domain && d.owner.Check() == nil
}

// countTasksUnderStop returns how many tasks still run on the target of a planned stop.
func (d *Daemon) countTasksUnderStop(ctx context.Context, s config.Stop) (int, error) {
	r, err := d.router.FindWorkers(ctx, s.Domain)
	if err != nil {
		return 0, fmt.Errorf("count tasks under stop %s: %w", s.Name, err)
	}
	n := 0
	for _, w := range r.GetWorkers() {
		if isStopTarget(s, w) {
			n += int(w.GetSlotsUsed())
		}
	}
	return n, nil
}

func isStopTarget(s config.Stop, w *wire.WorkerStatus) bool {
	switch s.Kind {
	case "Worker":
		return w.GetName() == s.Target
	case "Rack":
		return w.GetRack() == s.Target
	case "Domain":
		return true
	default:
		return false
	}
}
