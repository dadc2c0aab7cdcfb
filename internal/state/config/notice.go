package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

const (
	// noticeRetention is how long a notice is kept after its Until.
	noticeRetention = 24 * time.Hour
	// noticeLimit bounds the stored notices.
	noticeLimit = 16 << 10
)

// Actions of a notice record.
const (
	NoticeIssue    = "Issue"
	NoticeAck      = "Ack"
	NoticeWithdraw = "Withdraw"
)

// Notice announces a slowdown of a profile to the clients of an organisation before it begins.
type Notice struct {
	ID           string
	Organisation string
	Profile      string
	Domain       string
	From         time.Time
	Until        time.Time
	// Slower is the expected completion time divided by the usual one.
	Slower float64
	Why    string
	// Cause names the reason of the slowdown, such as "Stop rack-7 at 812"; the notice is withdrawn with it.
	Cause string
	// CallBy is the deadline for the call to the clients.
	CallBy time.Time
	Issued time.Time
	// Acked is when an operator acknowledged the notice, having called the clients; zero means not yet.
	Acked   time.Time
	AckedBy string
}

// NewNoticeRecord returns the log record that issues a notice; its id depends on the notice's id only, so that
// a notice that several hosts issue takes effect once.
func NewNoticeRecord(n Notice) (*wire.Record, error) {
	b, err := json.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("encode notice %s: %w", n.ID, err)
	}
	w := &wire.NoticeChange{Id: n.ID, Action: NoticeIssue, Json: b}
	return &wire.Record{Id: "notice/" + n.ID, Body: &wire.Record_Notice{Notice: w}}, nil
}

// NewAckRecord returns the log record by which an operator acknowledges a notice; id is its idempotency key.
func NewAckRecord(id, notice, operator, reason string) *wire.Record {
	w := &wire.NoticeChange{Id: notice, Action: NoticeAck, Operator: operator, Reason: reason}
	return &wire.Record{Id: id, Body: &wire.Record_Notice{Notice: w}}
}

// NewWithdrawRecord returns the log record that withdraws a notice whose cause no longer applies.
func NewWithdrawRecord(notice, reason string) *wire.Record {
	w := &wire.NoticeChange{Id: notice, Action: NoticeWithdraw, Reason: reason}
	return &wire.Record{Id: "withdraw/" + notice, Body: &wire.Record_Notice{Notice: w}}
}

func (s *State) foldNotice(e entry, w *wire.NoticeChange) bool {
	ns, err := s.config.withNotice(e.at, w)
	if err != nil {
		s.raise(AlarmSkipped, e.offset, err.Error())
		return false
	}
	c := s.config
	c.Notices = ns
	c.Offset = e.offset + 1
	s.config = c
	return true
}

// withNotice returns the notices after the record, without those whose retention ended by at.
func (c Config) withNotice(at time.Time, w *wire.NoticeChange) (map[string]Notice, error) {
	ns := make(map[string]Notice, len(c.Notices)+1)
	for id, n := range c.Notices {
		if at.Before(n.Until.Add(noticeRetention)) {
			ns[id] = n
		}
	}
	n, ok := ns[w.GetId()]
	switch w.GetAction() {
	case NoticeIssue:
		return ns, issueNotice(ns, ok, at, w)
	case NoticeAck:
		if !ok {
			return nil, fmt.Errorf("acknowledge notice %q: not in force", w.GetId())
		}
		if n.Acked.IsZero() {
			n.Acked = at
			n.AckedBy = w.GetOperator()
			ns[n.ID] = n
		}
		return ns, nil
	case NoticeWithdraw:
		delete(ns, w.GetId())
		return ns, nil
	default:
		return nil, fmt.Errorf("notice %q: action %q is not Issue, Ack or Withdraw", w.GetId(), w.GetAction())
	}
}

func issueNotice(ns map[string]Notice, exists bool, at time.Time, w *wire.NoticeChange) error {
	if exists {
		return nil
	}
	if len(ns) >= noticeLimit {
		return fmt.Errorf("issue notice %q: limit of notices reached: %d", w.GetId(), len(ns))
	}
	var n Notice
	if err := json.Unmarshal(w.GetJson(), &n); err != nil {
		return fmt.Errorf("issue notice %q: decode: %w", w.GetId(), err)
	}
	if n.ID == "" || n.ID != w.GetId() || len(n.ID) > MaxTextBytes || len(n.Why) > MaxTextBytes || len(n.Cause) > MaxTextBytes {
		return fmt.Errorf("issue notice %q: id is empty, too long or does not match, or Why or Cause is too long", w.GetId())
	}
	n.Issued = at
	n.Acked = time.Time{}
	n.AckedBy = ""
	ns[n.ID] = n
	return nil
}
