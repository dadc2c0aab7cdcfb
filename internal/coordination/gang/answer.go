package gang

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Collect returns the whole answer of an attempt that is done: the answers of its tasks in order.
//
// Each part is checked by length and xxhash64 digest. Once keep has succeeded the workers forget the attempt; a nil
// keep keeps nothing. ErrAnswerTooLarge says that the answer exceeds Bounds.Answer.
func (g *Gangs) Collect(ctx context.Context, a Attempt, keep func(context.Context, []byte) error) ([]byte, error) {
	r, err := g.runOf(a)
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
	answer, err := g.fetch(ctx, r)
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

// Forget lets the workers drop an attempt that ended; a worker that is not reached is swept later.
func (g *Gangs) Forget(ctx context.Context, a Attempt) {
	r, err := g.runOf(a)
	if err != nil {
		return
	}
	each(r.parts, func(p part) error { return g.forgetPart(ctx, a.Term, p) })
	g.dropRun(r)
}

// answerSize returns the size of the whole answer in bytes, after asking workers whose tasks are not known to be done.
func (g *Gangs) answerSize(ctx context.Context, r *run) (int64, error) {
	for _, p := range r.parts {
		r.mu.Lock()
		known := r.isFinished(p.worker)
		r.mu.Unlock()
		if known {
			continue
		}
		if err := g.again(ctx, func() error {
			_, err := g.ask(ctx, r.attempt.Term, p)
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

func (g *Gangs) fetch(ctx context.Context, r *run) ([]byte, error) {
	r.mu.Lock()
	as := r.answers()
	r.mu.Unlock()
	got := make([][]byte, len(as))
	errs := each(r.parts, func(p part) error {
		for _, ref := range p.refs {
			b, err := g.fetchTask(ctx, p, ref, as[ref.Task])
			if err != nil {
				return err
			}
			got[ref.Task] = b
		}
		return nil
	})
	if _, err := firstError(r.parts, errs); err != nil {
		return nil, err
	}
	var out []byte
	for _, b := range got {
		out = append(out, b...)
	}
	return out, nil
}

func (g *Gangs) fetchTask(ctx context.Context, p part, ref fleet.TaskRef, want Answer) ([]byte, error) {
	var b []byte
	err := g.repeat(ctx, func(ctx context.Context) error {
		var err error
		b, err = g.workers.Answer(ctx, p.addr, ref)
		if err != nil {
			return err
		}
		if g.off.digest || (int64(len(b)) == want.Bytes && xxhash.Sum64(b) == want.Digest) {
			return nil
		}
		g.stats.wrong.Inc(1)
		return errors.WithStack(ErrAnswerWrong)
	})
	if err != nil {
		return nil, fmt.Errorf("answer of task %d from worker %s: %w", ref.Task, p.worker, err)
	}
	return b, nil
}
