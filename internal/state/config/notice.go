package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

const (
	// noticeKeep is how long a notice is kept after its end.
	noticeKeep = 24 * time.Hour
	// noticeLimit bounds the notices in force.
	noticeLimit = 16 << 10
)

// Actions of a notice record.
const (
	NoticeIssue    = "Issue"
	NoticeAck      = "Ack"
	NoticeWithdraw = "Withdraw"
)

// Notice tells the clients of an organisation of a slowdown, in time for a call.
type Notice struct {
	ID           string
	Organisation string
	Profile      string
	Domain       string
	From         time.Time
	Until        time.Time
	// Slower is the expected completion time over the usual one.
	Slower float64
	Why    string
	// Cause names what slows down, such as "Stop rack-7 at 812", so that the notice can be withdrawn with it.
	Cause  string
	CallBy time.Time
	Issued time.Time
	// Acked is when an operator confirmed the call; zero means not yet.
	Acked   time.Time
	AckedBy string
}

// NewNoticeRecord returns the record that issues a notice; all hosts give the same notice the same id.
func NewNoticeRecord(n Notice) (*wire.Record, error) {
	b, err := json.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("render notice %s: %w", n.ID, err)
	}
	w := &wire.NoticeChange{Id: n.ID, Action: NoticeIssue, Json: b}
	return &wire.Record{Id: "notice/" + n.ID, Body: &wire.Record_Notice{Notice: w}}, nil
}

// NewAckRecord returns the record by which an operator confirms the call; id makes a repeat idempotent.
func NewAckRecord(id, notice, operator, reason string) *wire.Record {
	w := &wire.NoticeChange{Id: notice, Action: NoticeAck, Operator: operator, Reason: reason}
	return &wire.Record{Id: id, Body: &wire.Record_Notice{Notice: w}}
}

// NewWithdrawRecord returns the record that takes back a notice whose cause is gone.
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

// withNotice returns the notices that a record leaves, without those that ended long before at.
func (c Config) withNotice(at time.Time, w *wire.NoticeChange) (map[string]Notice, error) {
	ns := make(map[string]Notice, len(c.Notices)+1)
	for id, n := range c.Notices {
		if at.Before(n.Until.Add(noticeKeep)) {
			ns[id] = n
		}
	}
	n, ok := ns[w.GetId()]
	switch w.GetAction() {
	case NoticeIssue:
		return ns, issue(ns, ok, at, w)
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

func issue(ns map[string]Notice, exists bool, at time.Time, w *wire.NoticeChange) error {
	if exists {
		return nil
	}
	if len(ns) >= noticeLimit {
		return fmt.Errorf("issue notice %q: %d notices are in force already", w.GetId(), len(ns))
	}
	var n Notice
	if err := json.Unmarshal(w.GetJson(), &n); err != nil {
		return fmt.Errorf("issue notice %q: %w", w.GetId(), err)
	}
	if n.ID == "" || n.ID != w.GetId() || len(n.ID) > MaxText || len(n.Why) > MaxText || len(n.Cause) > MaxText {
		return fmt.Errorf("issue notice %q: id or reason does not fit", w.GetId())
	}
	n.Issued = at
	n.Acked = time.Time{}
	n.AckedBy = ""
	ns[n.ID] = n
	return nil
}
