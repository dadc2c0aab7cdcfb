// Package intake takes jobs, cancels and questions of callers on every host.
//
// A job is accepted once its record is stored; the owner learns of it from the store. Answers come from the fold of
// the store, so that any host can give them.
package intake
