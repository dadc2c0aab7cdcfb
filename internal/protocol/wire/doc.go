// Package wire holds the messages generated from the schema under api.
package wire
