// Package once keeps the claims of idempotency keys of one failure domain, so that work with a key runs at most once.
//
// A claim is held by the live hosts of the key's home failure domain, and by the platform's log while that answers,
// before the work starts. Where a claim could have been forgotten, new work is refused as not run.
package once
