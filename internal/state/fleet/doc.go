// Package fleet defines the value types shared by all layers: workers, shapes, jobs, tasks, terms and leases.
package fleet
