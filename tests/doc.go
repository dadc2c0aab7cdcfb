// Package tests runs the real programs on loopback addresses and injects faults.
package tests
