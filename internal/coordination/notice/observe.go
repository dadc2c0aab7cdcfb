package notice

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
)

// ObservedWait is the current wait of an organisation's work under a profile, and its cause.
type ObservedWait struct {
	Organisation string
	Profile      string
	Domain       string
	Wait         time.Duration
	Cause        string
}

// waitKey identifies an observed wait.
type waitKey struct {
	org, profile, domain string
}

// Observe records the current wait. If a wait starts to exceed its bound without a notice issued in time, it counts the
// slowdown by cause and adds an event to the time line.
func (n *Notices) Observe(s ObservedWait) {
	c := n.config()
	p, ok := c.Profiles[s.Profile]
	k := waitKey{s.Organisation, s.Profile, s.Domain}
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
	why := missedReason(c, p, s, n.clock.Now())
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

// missedReason says why no notice announced a slowdown in time; it is empty if one did.
func missedReason(c config.Config, p config.Profile, s ObservedWait, now time.Time) string {
	why := "no notice was issued"
	for _, x := range c.Notices {
		if x.Organisation != s.Organisation || x.Profile != s.Profile || x.Domain != s.Domain {
			continue
		}
		if now.Before(x.From.Add(-matchTolerance)) || now.After(x.Until.Add(matchTolerance)) {
			continue
		}
		if !x.Issued.After(x.From.Add(-p.Notice)) {
			return ""
		}
		why = "the notice " + x.ID + " was issued too late"
	}
	return why
}
