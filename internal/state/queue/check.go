package queue

import (
	"fmt"
	"strings"
)

// Kind is the kind of an entry of a configuration.
type Kind string

// Kinds of entries.
const (
	KindQueue        Kind = "Queue"
	KindOrganisation Kind = "Organisation"
)

// Place is a field of an entry; Index counts the entries of a kind, and Key the API keys of an organisation.
type Place struct {
	Kind  Kind
	Index int
	Field string
	Key   int
}

// Finding is a fault of a configuration. An error is a fault that has to be corrected; other findings have an effect that
// is seldom wanted.
type Finding struct {
	Place   Place
	IsError bool
	Reason  string
}

// Draft is a configuration as it is written; unlike Config it holds API keys that are given twice.
type Draft struct {
	Config *Config
	// Keys are the API keys of each organisation, in the order of Config.Organisations.
	Keys [][]string
}

// CheckOptions hold what a configuration is checked against.
type CheckOptions struct {
	// Accelerators is the capacity of the workers; zero if it is not known.
	Accelerators int
}

// checker collects the findings of one draft.
type checker struct {
	draft    *Draft
	options  CheckOptions
	findings []Finding
}

// Check returns the faults of a draft, in the order of its entries.
func Check(d *Draft, o CheckOptions) []Finding {
	c := &checker{draft: d, options: o}
	for i := range d.Config.Queues {
		c.checkQueue(i)
		c.checkReach(i)
	}
	for i := range d.Config.Organisations {
		c.checkOrganisation(i)
	}
	c.checkKeys()
	c.checkGuarantees()
	return c.findings
}

func (c *checker) add(p Place, isError bool, format string, args ...any) {
	c.findings = append(c.findings, Finding{Place: p, IsError: isError, Reason: fmt.Sprintf(format, args...)})
}

// checkQueue checks the values of one queue.
func (c *checker) checkQueue(i int) {
	q := &c.draft.Config.Queues[i]
	at := func(field string) Place { return Place{Kind: KindQueue, Index: i, Field: field} }
	for _, x := range []struct{ field, value string }{{"Name", q.Name}, {"Host", q.Host}, {"Service", q.Service}} {
		if x.value == "" {
			c.add(at(x.field), true, "is missing")
		}
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		c.add(at("Prefix"), true, "%q does not begin with a slash, so no path matches it", q.Prefix)
	}
	switch {
	case q.MaxAttempts < 0:
		c.add(at("MaxAttempts"), true, "%d is below zero", q.MaxAttempts)
	case q.MaxAttempts == 0:
		c.add(at("MaxAttempts"), false, "0 sets no limit: a task that always fails runs until its job is cancelled")
	}
	if q.Stretch < 0 || q.Objective < 0 {
		c.add(at("Objective"), true, "a target is below zero")
	}
	if q.Stretch > 0 && q.Stretch < 1 {
		c.add(at("Stretch"), false, "%g asks for an end before the work of a job can be done, unless the objective makes up for it", q.Stretch)
	}
}

// checkReach looks for entries that take the name or the requests of a queue away.
func (c *checker) checkReach(i int) {
	q := &c.draft.Config.Queues[i]
	for k := range c.draft.Config.Queues {
		x := &c.draft.Config.Queues[k]
		switch {
		case k < i && x.Name == q.Name && q.Name != "":
			c.add(Place{Kind: KindQueue, Index: i, Field: "Name"}, true, "%q is the name of queue %d as well", q.Name, k)
		case k < i && x.Host == q.Host && x.Prefix == q.Prefix:
			c.add(Place{Kind: KindQueue, Index: i, Field: "Prefix"}, true, "%s%s never matches: queue %q has the same and comes first", q.Host, q.Prefix, x.Name)
		case x.Host == q.Host && x.Prefix == q.Prefix+"/":
			c.add(Place{Kind: KindQueue, Index: i, Field: "Prefix"}, false, "%s%s is hidden by queue %q, whose prefix adds the slash", q.Host, q.Prefix, x.Name)
		}
	}
}

// checkOrganisation checks the values of one organisation.
func (c *checker) checkOrganisation(i int) {
	o := c.draft.Config.Organisations[i]
	at := func(field string) Place { return Place{Kind: KindOrganisation, Index: i, Field: field} }
	if o.Name == "" {
		c.add(at("Name"), true, "is missing")
	}
	for k, x := range c.draft.Config.Organisations[:i] {
		if x.Name == o.Name && o.Name != "" {
			c.add(at("Name"), true, "%q is the name of organisation %d as well", o.Name, k)
		}
	}
	if o.Accelerators < 0 {
		c.add(at("Accelerators"), true, "%d is below zero", o.Accelerators)
	}
	if len(c.draft.Keys[i]) == 0 {
		c.add(at("Keys"), false, "%q has no key, so it can only use public queues", o.Name)
	}
}

// checkKeys looks for API keys that are empty or given twice; the later organisation would get the requests of the earlier.
func (c *checker) checkKeys() {
	first := map[string]int{}
	for i, keys := range c.draft.Keys {
		for k, key := range keys {
			at := Place{Kind: KindOrganisation, Index: i, Field: "Keys", Key: k}
			if key == "" {
				c.add(at, true, "is empty: a request without a key would count as one of %q", c.draft.Config.Organisations[i].Name)
				continue
			}
			if other, ok := first[key]; ok {
				c.add(at, true, "is a key of %q as well", c.draft.Config.Organisations[other].Name)
				continue
			}
			first[key] = i
		}
	}
}

// checkGuarantees compares the guarantees of all organisations with the capacity.
func (c *checker) checkGuarantees() {
	sum, last := 0, 0
	for i, o := range c.draft.Config.Organisations {
		if o.Accelerators > 0 {
			sum, last = sum+o.Accelerators, i
		}
	}
	if limit := c.options.Accelerators; limit > 0 && sum > limit {
		c.add(Place{Kind: KindOrganisation, Index: last, Field: "Accelerators"}, true,
			"the guarantees of all organisations are %d accelerators together, and the workers have %d", sum, limit)
	}
}
