// Package health distinguishes faulty workers, which fail every job, from faulty jobs, which fail on every worker.
//
// Each failure is evidence against both its worker and its job. The more workers the job failed on, the less it weighs
// against each of them; the more other jobs failed on the worker, the less it weighs against the job. Faulty workers are
// quarantined and then put on probation; faulty jobs are refused.
package health
