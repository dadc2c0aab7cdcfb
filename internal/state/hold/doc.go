// Package hold reserves concrete places for every guaranteed gang of a failure domain.
//
// The reservations prove that all guarantees can be met at the same time: together with non-preemptible work they never
// exceed the capacity of a worker, so that preempting the borrowers makes room for every guaranteed gang at once.
package hold
