// Package exec runs the jobs of a service on its workers while this host owns them.
//
// An engine lives for one term. It reads the jobs from their table, lets the planner decide, writes each start and
// each end to the store before it acts on it, and keeps the leases of the workers. What runs where is thus known to
// the next owner, and the store fences off an engine whose term is over before it can start anything.
package exec
