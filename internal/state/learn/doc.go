// Package learn estimates run time and memory of jobs. It starts from the declared values and learns from the usage of
// earlier jobs of the same organisation and profile.
package learn
