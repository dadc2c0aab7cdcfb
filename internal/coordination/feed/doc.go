// Package feed follows topics of the platform's store and appends to them idempotently.
package feed
