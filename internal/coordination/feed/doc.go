// Package feed reads topics of the platform's store continuously and appends to them idempotently.
package feed
