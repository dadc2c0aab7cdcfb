// Package place keeps the books of a failure domain's workers and finds room for gangs in them.
//
// Sites are changed by one goroutine; a search leaves the books as they were.
package place
