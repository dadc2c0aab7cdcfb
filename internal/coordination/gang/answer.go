package gang

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Collect returns the answer of a completed attempt: the answers of its tasks, concatenated in task order.
//
// The answer of each task is verified by length and xxhash64 digest. The workers delete the tasks of the attempt only
// after keep has stored the answer; if keep is nil, they delete them at once. ErrAnswerTooLarge is returned when the
// answer exceeds Bounds.Answer.
func (g *Gangs) Collect(ctx context.Context, a Attempt, keep func(context.Context, []byte) error) ([]byte, error) {
	r, err := g.findOrAddRun(a)
	if err != nil {
		return nil, err
	}
	size, err := g.answerSize(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("collect job %s: %w", a.Job.ID, err)
	}
	if size > g.bounds.Answer {
		return nil, ErrAnswerTooLarge{Job: a.Job.ID, Bytes: size, Max: g.bounds.Answer}
	}
	answer, err := g.fetchAnswers(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("collect job %s: %w", a.Job.ID, err)
	}
	if keep != nil {
		if err := keep(ctx, answer); err != nil {
			return nil, fmt.Errorf("keep answer of job %s: %w", a.Job.ID, err)
		}
	}
	g.Forget(ctx, a)
	return answer, nil
}

// Forget makes the workers delete their tasks of an ended attempt. Tasks on a worker that cannot be reached are deleted
// by a later Sweep.
func (g *Gangs) Forget(ctx context.Context, a Attempt) {
	r, err := g.findOrAddRun(a)
	if err != nil {
		return
	}
	forEachPart(r.parts, func(p part) error { return g.forgetPart(ctx, a.Term, p) })
	g.removeRun(r)
}

// answerSize returns the size of the complete answer in bytes. It first inspects the workers whose tasks are not known
// to be done.
func (g *Gangs) answerSize(ctx context.Context, r *run) (int64, error) {
	for _, p := range r.parts {
		r.mu.Lock()
		known := r.isFinished(p.worker)
		r.mu.Unlock()
		if known {
			continue
		}
		if err := g.retry(ctx, func() error {
			_, err := g.inspect(ctx, r.attempt.Term, p)
			return err
		}); err != nil {
			return 0, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var n int64
	for i, t := range r.tasks {
		if t.missing || t.state != fleet.TaskDone {
			return 0, fmt.Errorf("task %d on worker %s is not done: %w", i, t.worker, port.ErrNoTask)
		}
		n += t.bytes
	}
	return n, nil
}

func (g *Gangs) fetchAnswers(ctx context.Context, r *run) ([]byte, error) {
	r.mu.Lock()
	expected := r.answers()
	r.mu.Unlock()
	answers := make([][]byte, len(expected))
	errs := forEachPart(r.parts, func(p part) error {
		for _, ref := range p.refs {
			b, err := g.fetchAnswer(ctx, p, ref, expected[ref.Task])
			if err != nil {
				return err
			}
			answers[ref.Task] = b
		}
		return nil
	})
	if _, err := firstError(r.parts, errs); err != nil {
		return nil, err
	}
	var out []byte
	for _, b := range answers {
		out = append(out, b...)
	}
	return out, nil
}

func (g *Gangs) fetchAnswer(ctx context.Context, p part, ref fleet.TaskRef, expected Answer) ([]byte, error) {
	var body []byte
	err := g.commandWithRetry(ctx, func(ctx context.Context) error {
		var err error
		body, err = g.workers.Answer(ctx, p.addr, ref)
		if err != nil {
			return err
		}
		if g.disabled.digest || (int64(len(body)) == expected.Bytes && xxhash.Sum64(body) == expected.Digest) {
			return nil
		}
		g.stats.corrupt.Inc(1)
		return errors.WithStack(ErrAnswerCorrupt)
	})
	if err != nil {
		return nil, fmt.Errorf("answer of task %d from worker %s: %w", ref.Task, p.worker, err)
	}
	return body, nil
}
