// Package elect decides through the platform's store which host owns the jobs.
//
// A host claims the ownership by a conditional append to a topic; the offset of the claim is the term, a fencing
// token that only grows. The owner renews its claim by further records; the others claim when none comes. The term
// fences all that the owner does, so the timing of the election matters for speed alone.
package elect
