// Package config folds the configuration records of the log into the configuration in force.
package config
