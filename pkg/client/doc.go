// Package client submits jobs to the entry hosts of auburncleat, follows them, and fetches and verifies their answers.
package client
