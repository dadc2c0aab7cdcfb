// Package lease renews one lease per worker, spread over the hosts of a failure domain within a budget of bytes.
package lease
