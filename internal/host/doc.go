// Package host builds and runs an entry host whose jobs are kept in the platform's store.
package host
