// Package place keeps the resource ledger of a failure domain's workers and searches it for placements of gangs.
//
// One goroutine owns a ledger. A search changes no allocation, but it uses scratch fields of the sites and racks, so
// two searches must not run at the same time.
package place
