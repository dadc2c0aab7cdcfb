// Package notice forecasts slowdowns and issues notices to clients as far in advance as their profile promises.
package notice
