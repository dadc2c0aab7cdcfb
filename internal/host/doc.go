// Package host puts together the parts of an entry host whose jobs are kept in the platform's store, and runs them.
package host
