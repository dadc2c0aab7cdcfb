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

// errUnfit is wrapped around the guarantees that cannot be held together.
var errUnfit = errors.New("guarantees do not fit the workers")

// fitsGuarantees returns an error that lists the guarantees which the workers cannot hold together.
func fitsGuarantees(ws []fleet.Worker, ps []config.Profile) error {
	by := map[string]config.Profile{}
	for _, p := range ps {
		by[p.Name] = p
	}
	us := plan.FindUnfitGuarantees(ws, by)
	if len(us) == 0 {
		return nil
	}
	var texts []string
	for _, u := range us {
		texts = append(texts, u.String())
	}
	return fmt.Errorf("%w: %s", errUnfit, strings.Join(texts, "; "))
}

// policyMembers lists all live hosts with the configuration that they have in force.
func (d *Daemon) policyMembers() []policy.Member {
	var out []policy.Member
	for _, h := range d.hostViews() {
		out = append(out, policy.Member{Name: h.Name, Domain: h.Domain, Offset: h.ConfigOffset})
	}
	return out
}

// noteWait tells the notices how long work waited, so that a slowdown without notice is counted.
func (d *Daemon) noteWait(j fleet.Job, waited time.Duration) {
	d.notices.Observe(notice.ObservedWait{
		Organisation: j.Organisation,
		Profile:      j.Profile,
		Domain:       j.Domain,
		Wait:         waited,
		Cause:        "queue",
	})
}

// rank returns the place of this host among the live ones of all failure domains, by name.
func (d *Daemon) rank() int {
	n := 0
	for _, h := range d.hostViews() {
		if h.Name < d.settings.Host.Name {
			n++
		}
	}
	return n
}

// isOwnDomain reports whether this host owns the failure domain.
func (d *Daemon) isOwnDomain(domain string) bool {
	return domain == d.settings.Host.Domain && d.owner.Check() == nil
}

// countTasks returns how many tasks still run on the target of a planned stop.
func (d *Daemon) countTasks(ctx context.Context, s config.Stop) (int, error) {
	r, err := d.router.FindWorkers(ctx, s.Domain)
	if err != nil {
		return 0, fmt.Errorf("count tasks under stop %s: %w", s.Name, err)
	}
	n := 0
	for _, w := range r.GetWorkers() {
		if isTarget(s, w) {
			n += int(w.GetSlotsUsed())
		}
	}
	return n, nil
}

func isTarget(s config.Stop, w *wire.WorkerStatus) bool {
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
