package relay

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

func encodeRequest(q intake.Request) *wire.TakeRequest {
	m := &wire.TakeRequest{
		Verb: wire.TakeVerb(q.Verb), Host: q.Host, Path: q.Path, Key: q.Key, Fault: q.Fault, PatienceNanos: int64(q.Timeout),
		Version: q.MinVersion,
	}
	if q.Job != nil {
		m.Job = jobs.ToWire(q.Job)
	}
	return m
}

func decodeRequest(m *wire.TakeRequest) intake.Request {
	q := intake.Request{
		Verb: intake.Verb(m.GetVerb()), Host: m.GetHost(), Path: m.GetPath(), Key: m.GetKey(), Fault: m.GetFault(),
		Timeout: time.Duration(m.GetPatienceNanos()), MinVersion: m.GetVersion(),
	}
	if x := m.GetJob(); x != nil {
		q.Job = jobs.FromWire(x)
	}
	return q
}

// errorCodes maps the errors of the intake to their codes on the wire.
var errorCodes = []struct {
	err  error
	code wire.TakeCode
}{
	{intake.ErrNoQueue, wire.TakeCode_TAKE_CODE_NO_QUEUE},
	{intake.ErrNoKey, wire.TakeCode_TAKE_CODE_NO_KEY},
	{intake.ErrNoJob, wire.TakeCode_TAKE_CODE_NO_JOB},
	{intake.ErrInvalid, wire.TakeCode_TAKE_CODE_INVALID},
}

func encodeReply(p intake.Reply, err error, m *wire.TakeReply) {
	m.Progress, m.Pending, m.Counted = int32(p.Progress), int64(p.Pending), p.IsCount
	if err == nil {
		return
	}
	m.Code, m.Text = wire.TakeCode_TAKE_CODE_UNKNOWN, err.Error()
	var b intake.ErrBusy
	if errors.As(err, &b) {
		m.Code, m.Text, m.RetryAfterNanos = wire.TakeCode_TAKE_CODE_BUSY, b.Why, int64(b.RetryAfter)
		return
	}
	for _, x := range errorCodes {
		if errors.Is(err, x.err) {
			m.Code = x.code
		}
	}
}

func decodeReply(m *wire.TakeReply) (intake.Reply, error) {
	p := intake.Reply{Progress: intake.Progress(m.GetProgress()), Pending: int(m.GetPending()), IsCount: m.GetCounted()}
	if m.GetCode() == wire.TakeCode_TAKE_CODE_DONE {
		return p, nil
	}
	if m.GetCode() == wire.TakeCode_TAKE_CODE_BUSY {
		return p, intake.ErrBusy{Why: m.GetText(), RetryAfter: time.Duration(m.GetRetryAfterNanos())}
	}
	for _, x := range errorCodes {
		if x.code == m.GetCode() {
			return p, fmt.Errorf("%s: %w", m.GetText(), x.err)
		}
	}
	return p, fmt.Errorf("%s: %w", m.GetText(), intake.ErrOutcomeUnknown)
}
