// Package hold keeps a concrete reservation for every guaranteed gang of a failure domain.
//
// The reservations are the proof that all guarantees hold: their places and the work that cannot be stopped never
// need more than a worker has, so that stopping the borrowers makes room for every gang at once.
package hold
