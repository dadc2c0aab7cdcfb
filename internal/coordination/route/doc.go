// Package route takes a caller's request to the owner of a failure domain, and back with the answer.
package route
