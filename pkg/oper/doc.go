// Package oper is a client of the operator API: it reads and changes the configuration through any entry host.
package oper
