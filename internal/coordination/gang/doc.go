// Package gang prepares, starts, watches, stops and adopts gangs, so that no part of a gang runs unless all of it runs.
package gang
