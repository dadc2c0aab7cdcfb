// Package member tracks which hosts are live, using heartbeats within the failure domain, digests between failure domains,
// the platform's host list and configured seed addresses.
package member
