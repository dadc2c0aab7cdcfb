// Package exec runs the jobs of a service on its workers while this host owns them.
//
// An Engine exists for one term. It reads jobs from the job table, asks the planner for decisions, writes each start
// and each end to the store before acting on it, and renews the leases of the workers. The next owner therefore reads
// from the store which units run on which workers. The store rejects the writes of an engine whose term is over, so
// that such an engine cannot start anything.
package exec
