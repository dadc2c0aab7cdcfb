// Package route forwards requests of callers to the owners of failure domains and returns the replies.
package route
