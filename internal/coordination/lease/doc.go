// Package lease renews the leases of a failure domain's workers, one per worker. The hosts of the failure domain divide the
// workers among them, and each host adapts its renewal interval to a budget of bytes per second.
package lease
