// Package speed estimates how much longer than a typical worker each worker takes for the same work.
//
// Tasks of one group have about the same work, so that differences between their rates of progress are those of their
// workers. The speed of the work and those of the workers are estimated in turns: the rate of a group from the rates of
// its tasks, corrected for what is known of their workers, and a worker from its tasks against the other tasks of their
// groups. A worker about which nothing is known counts as typical, with a wide uncertainty.
package speed
