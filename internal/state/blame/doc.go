// Package blame tells workers that fail everything from jobs that can never run.
//
// Each failure is evidence against both its worker and its job. It counts less against a worker the more workers the
// job has failed on, and less against a job the more other jobs the worker has failed, so that the two settle apart.
package blame
