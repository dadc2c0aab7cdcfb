package main

import "time"

func init() { scenarios["after"] = manyAfter }

// manyAfter: one accepted job of a legal size consists of very many short fields: its second step names the first again and again.
func manyAfter(b *bed) int {
	names := 120000
	if !b.trouble {
		names = 1
	}
	return b.verdictOfLost(job{
		Spec: "work=200",
		Steps: []step{
			{Count: 4000, CPU: 200, MemMB: 16, EstimatedMs: 200},
			{Count: 1, CPU: 200, MemMB: 16, EstimatedMs: 200, StartAfter: make([]int, names)},
		},
	}, 10*time.Second)
}
