// Package client submits jobs to the entry hosts of auburncleat and fetches their whole answers.
package client
