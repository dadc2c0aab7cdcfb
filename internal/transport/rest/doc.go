// Package rest makes HTTP/JSON calls that notice connections which have gone silent.
package rest
