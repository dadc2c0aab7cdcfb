// Package setup loads the INI file of a daemon and lists everything that is wrong with it at once.
package setup
