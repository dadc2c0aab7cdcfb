// Package config folds the operators' records into the configuration in force.
package config
