// Package notice foresees slowdowns, and tells clients of them as long ahead as their profile promises.
package notice
