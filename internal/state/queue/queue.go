package queue

import (
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
)

// Queue accepts jobs at a host name and a path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	Urgency config.Urgency
	// MaxAttempts is the maximum number of failed runs of a task; zero means no maximum.
	MaxAttempts int
	// A job should end within Stretch times the run time of its longest chain of steps, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Public queues accept requests without an API key.
	Public bool
	// RequiresTicket is set if each start of a job needs a ticket of the platform.
	RequiresTicket bool
}

// Organisation owns jobs and has a guarantee.
type Organisation struct {
	Name string
	// Accelerators is the number of accelerators guaranteed to the organisation's urgent jobs.
	Accelerators int
}

// Config is one version of the operator's configuration.
type Config struct {
	Version       int64
	Queues        []Queue
	Organisations []Organisation
	// Keys maps API keys to names of organisations.
	Keys map[string]string
}

// Match returns the queue of the host name with the longest matching path prefix, and the rest of the path. It returns
// nil if no queue matches.
func (c *Config) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, strings.TrimPrefix(path[len(best.Prefix):], "/")
}

// GetQueue returns the queue with the name, or nil if there is none.
func (c *Config) GetQueue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
