// Package guess corrects declared run times and memory by what jobs of the same organisation and profile took before.
package guess
