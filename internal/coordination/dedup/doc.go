// Package dedup implements the ledger of idempotency keys of one failure domain, so that work with a key runs at most
// once.
//
// Before the work starts, its claim on the key is replicated to the live hosts of the key's home failure domain, and to the
// platform's log while that answers. While claims may be missing, new work is refused without having run.
//
// A marker in the log names the hosts that hold every claim (the group). Until the newest marker expires, no claim is stored
// outside the log; after that, while the log is down, a quorum of the group may hold claims without it.
package dedup
