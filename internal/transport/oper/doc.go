// Package oper serves operators over HTTP and JSON; changes need a bearer key, reading is open.
package oper
