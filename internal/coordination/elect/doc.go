// Package elect elects the host that owns the jobs, through the platform's store.
//
// A host claims the ownership by a conditional append to a topic. The offset of the claim gives the term, a fencing
// token that only grows. The owner renews its claim by further records, and other hosts claim when no renewal arrives.
// Everything that the owner does is fenced by the term, so the timing of the election affects only how soon a new owner
// takes over.
package elect
