// Package intake serves callers on every host: it submits and cancels jobs and reports their state.
//
// A job is accepted once its record is stored; the owner reads it from the store. Job states come from the local job table,
// which is built from the records of the store, so that any host can report them.
package intake
