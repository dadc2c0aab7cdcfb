// Package oper is a client for operators: it reads and changes the configuration through any entry host.
package oper
