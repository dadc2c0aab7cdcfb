// Package gang implements all-or-nothing execution of gangs, the sets of tasks of one job that have to run together. It
// prepares, starts, monitors, stops and adopts gangs such that no task of a gang keeps running unless all of them run.
package gang
