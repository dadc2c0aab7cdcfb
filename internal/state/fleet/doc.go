// Package fleet holds the values that every layer shares: workers, shapes, jobs, terms and leases.
package fleet
