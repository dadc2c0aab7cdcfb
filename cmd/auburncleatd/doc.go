// Command auburncleatd is the daemon of an entry host.
package main
