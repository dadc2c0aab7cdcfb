// Package queue holds the operator's configuration of queues, organisations and API keys.
package queue
