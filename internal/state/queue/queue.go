package queue

import (
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
)

// Queue takes jobs under a host name and a path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	Urgency config.Urgency
	// MaxAttempts bounds the failed runs of a task; zero means no bound.
	MaxAttempts int
	// Stretch times the longest chain of work of a job, and Objective more, is when the job should have ended.
	Stretch   float64
	Objective time.Duration
	// Public queues take calls without a key.
	Public bool
	// Advised queues need a ticket for each start.
	Advised bool
}

// Organisation owns jobs and holds a guarantee.
type Organisation struct {
	Name string
	// Accelerators belong to the organisation's urgent jobs at all times.
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

// Match returns the queue of the host name with the longest prefix of the path, and the rest of the path.
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

// GetQueue returns the queue with the name, or nil.
func (c *Config) GetQueue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
