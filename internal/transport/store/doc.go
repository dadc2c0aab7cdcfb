// Package store reaches the platform's log and host list over HTTP/JSON.
package store
