package queue

import (
	"fmt"
	"slices"
	"strconv"
)

// Change is a difference between two configurations, with its effect on callers.
type Change struct {
	Kind   Kind
	Name   string
	Field  string
	Old    string
	New    string
	Effect string
}

// Diff returns what differs between two configurations, by the names of the entries: queues first, then organisations.
func Diff(old, next *Draft) []Change {
	return slices.Concat(diffQueues(old.Config, next.Config), diffOrganisations(old, next))
}

func diffQueues(old, next *Config) []Change {
	var out []Change
	for i := range old.Queues {
		q := &old.Queues[i]
		x := next.GetQueue(q.Name)
		if x == nil {
			out = append(out, Change{Kind: KindQueue, Name: q.Name, Old: q.Host + q.Prefix, Effect: "is removed: requests are answered as unknown, and accepted jobs go on"})
			continue
		}
		out = append(out, diffQueue(q, x)...)
	}
	for i := range next.Queues {
		if q := &next.Queues[i]; old.GetQueue(q.Name) == nil {
			out = append(out, Change{Kind: KindQueue, Name: q.Name, New: q.Host + q.Prefix, Effect: "is added"})
		}
	}
	return out
}

// diffQueue returns the fields in which two versions of a queue differ.
func diffQueue(old, next *Queue) []Change {
	var out []Change
	add := func(field, o, n, effect string) {
		if o != n {
			out = append(out, Change{Kind: KindQueue, Name: old.Name, Field: field, Old: o, New: n, Effect: effect})
		}
	}
	add("Address", old.Host+old.Prefix, next.Host+next.Prefix, "requests to the old address are answered as unknown")
	add("Service", old.Service, next.Service, "tasks that have not started go to the workers of the new service")
	add("Urgency", string(old.Urgency), string(next.Urgency), "waiting jobs move in the order")
	add("MaxAttempts", strconv.Itoa(old.MaxAttempts), strconv.Itoa(next.MaxAttempts), "holds from the next failed run on, also for accepted jobs")
	add("Stretch", formatFloat(old.Stretch), formatFloat(next.Stretch), "targets of waiting jobs change")
	add("Objective", old.Objective.String(), next.Objective.String(), "targets of waiting jobs change")
	add("Public", strconv.FormatBool(old.Public), strconv.FormatBool(next.Public), "decides whether requests need a key")
	add("RequiresTicket", strconv.FormatBool(old.RequiresTicket), strconv.FormatBool(next.RequiresTicket), "decides whether starts need a ticket")
	return out
}

func diffOrganisations(old, next *Draft) []Change {
	var out []Change
	for i, o := range old.Config.Organisations {
		k := slices.IndexFunc(next.Config.Organisations, func(x Organisation) bool { return x.Name == o.Name })
		if k < 0 {
			out = append(out, Change{Kind: KindOrganisation, Name: o.Name, Effect: "is removed: its keys are refused, and its accepted jobs go on without a guarantee"})
			continue
		}
		if n := next.Config.Organisations[k].Accelerators; n != o.Accelerators {
			out = append(out, Change{
				Kind: KindOrganisation, Name: o.Name, Field: "Accelerators", Old: strconv.Itoa(o.Accelerators), New: strconv.Itoa(n),
				Effect: "changes the guarantee",
			})
		}
		if c, ok := diffKeys(o.Name, old.Keys[i], next.Keys[k]); ok {
			out = append(out, c)
		}
	}
	for _, o := range next.Config.Organisations {
		if !slices.ContainsFunc(old.Config.Organisations, func(x Organisation) bool { return x.Name == o.Name }) {
			out = append(out, Change{Kind: KindOrganisation, Name: o.Name, New: strconv.Itoa(o.Accelerators), Effect: "is added with this guarantee"})
		}
	}
	return out
}

// diffKeys counts the keys that an organisation gains and loses; it shows none of them.
func diffKeys(org string, old, next []string) (Change, bool) {
	gained, lost := countMissing(next, old), countMissing(old, next)
	return Change{
		Kind: KindOrganisation, Name: org, Field: "Keys", Old: strconv.Itoa(len(old)), New: strconv.Itoa(len(next)),
		Effect: fmt.Sprintf("%d keys are added and %d withdrawn", gained, lost),
	}, gained+lost > 0
}

// countMissing counts the elements of a that b lacks.
func countMissing(a, b []string) int {
	n := 0
	for _, x := range a {
		if !slices.Contains(b, x) {
			n++
		}
	}
	return n
}

func formatFloat(x float64) string {
	return strconv.FormatFloat(x, 'g', -1, 64)
}
