// Package member keeps track of which hosts live, from heartbeats, digests, the platform's list and configured seeds.
package member
