package main

import (
	"fmt"
	"time"
)

func init() { scenarios["gang"] = wideGang }

// wideGang: one accepted job is a gang of so many tasks that the record of its start is larger than a record of the store may be.
func wideGang(b *bed) int {
	tasks := 9000
	if !b.trouble {
		tasks = 16
	}
	return b.verdictOfLost(job{
		Spec:  fmt.Sprintf("work=500 gang=%d", tasks),
		Steps: []step{{Count: tasks, CPU: 10, MemMB: 1, EstimatedMs: 500, Gang: true}},
	}, 2*time.Second)
}
