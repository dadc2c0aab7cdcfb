// Package guess estimates run time and memory of jobs from the declared values and from the usage of earlier jobs of
// the same organisation and profile.
package guess
