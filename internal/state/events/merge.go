package events

import (
	"cmp"
	"slices"
)

// Merge returns the events of several processes ordered by stamp, then by host, without duplicates.
func Merge(runs ...[]Event) []Event {
	var es []Event
	for _, r := range runs {
		es = append(es, r...)
	}
	slices.SortStableFunc(es, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Host, b.Host))
	})
	return slices.Compact(es)
}
