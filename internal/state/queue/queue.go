package queue

import (
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
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

// Terms returns the terms of the queue for a job that it accepts now.
func (q *Queue) Terms() *jobs.Terms {
	return &jobs.Terms{Service: q.Service, Urgency: q.Urgency, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Objective: q.Objective}
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
	// Removed are queues of earlier versions, whose jobs go on.
	Removed []Queue
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
	return findQueue(c.Queues, name)
}

// GetAnyQueue returns the queue with the name, as it last was if it has been removed, or nil if none is known.
func (c *Config) GetAnyQueue(name string) *Queue {
	if q := c.GetQueue(name); q != nil {
		return q
	}
	return findQueue(c.Removed, name)
}

func findQueue(qs []Queue, name string) *Queue {
	for i := range qs {
		if qs[i].Name == name {
			return &qs[i]
		}
	}
	return nil
}

// maxRemoved bounds the removed queues that are kept.
const maxRemoved = 1000

// KeepRemoved adds the queues of the former version that this one lacks to the removed ones.
func (c *Config) KeepRemoved(former *Config) {
	names := map[string]bool{}
	for _, q := range c.Queues {
		names[q.Name] = true
	}
	for _, qs := range [][]Queue{former.Queues, former.Removed} {
		for _, q := range qs {
			if !names[q.Name] && len(c.Removed) < maxRemoved {
				names[q.Name] = true
				c.Removed = append(c.Removed, q)
			}
		}
	}
}
