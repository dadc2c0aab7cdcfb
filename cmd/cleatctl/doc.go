// Command cleatctl is the command line of auburncleat for callers and operators.
package main
