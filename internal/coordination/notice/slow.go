package notice

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
)

// Slowdown is how long the work of an organisation waits now, and why.
type Slowdown struct {
	Organisation string
	Profile      string
	Domain       string
	Wait         time.Duration
	Cause        string
}

type slowKey struct {
	org, profile, domain string
}

// Observe notes the current wait; a slowdown that begins without notice in time is counted with its cause.
func (n *Notices) Observe(s Slowdown) {
	c := n.config()
	p, ok := c.Profiles[s.Profile]
	k := slowKey{s.Organisation, s.Profile, s.Domain}
	isSlow := ok && s.Wait > p.WaitBound
	n.mu.Lock()
	wasSlow := n.slow[k]
	if isSlow {
		n.slow[k] = true
	} else {
		delete(n.slow, k)
	}
	n.mu.Unlock()
	if !isSlow || wasSlow || p.Notice == 0 {
		return
	}
	n.scope.Counter("slowdowns").Inc(1)
	why := missed(c, p, s, n.clock.Now())
	if why == "" {
		return
	}
	n.scope.Tagged(map[string]string{"cause": s.Cause}).Counter("slowdowns_unannounced").Inc(1)
	n.events.Add(events.Event{
		Kind:         events.NoticeMissed,
		Organisation: s.Organisation,
		Profile:      s.Profile,
		Text:         fmt.Sprintf("waits %s in %s, %s: %s", s.Wait.Round(time.Second), s.Domain, s.Cause, why),
	})
}

// missed says why the clients were not told of a slowdown in time; it is empty when they were.
func missed(c config.Config, p config.Profile, s Slowdown, now time.Time) string {
	why := "no notice was issued"
	for _, x := range c.Notices {
		if x.Organisation != s.Organisation || x.Profile != s.Profile || x.Domain != s.Domain {
			continue
		}
		if now.Before(x.From.Add(-tolerance)) || now.After(x.Until.Add(tolerance)) {
			continue
		}
		if !x.Issued.After(x.From.Add(-p.Notice)) {
			return ""
		}
		why = "the notice " + x.ID + " was issued too late"
	}
	return why
}
