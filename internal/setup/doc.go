// Package setup loads the INI file of a daemon and reports all of its faults at once.
package setup
