// Package oper serves the operators' API over HTTP with JSON bodies. Changes need a bearer key; reads need none.
package oper
