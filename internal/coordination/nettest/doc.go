// Package nettest gives tests an in-memory network, log and clock whose faults they bring about.
package nettest
