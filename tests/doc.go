// Package tests runs the real programs on loopback addresses and makes them fail.
package tests
