// Package exec runs the jobs of a service on its workers while this host owns them.
//
// An Engine exists for one term. It reads jobs from the job table, asks the planner for decisions, writes each start
// and each end to the store before acting on it, and renews the leases of the workers. The next owner therefore knows
// from the store what runs where, and the store fences off an engine whose term is over before it can start anything.
package exec
