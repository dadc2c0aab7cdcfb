package stream

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"google.golang.org/protobuf/proto"
)

const (
	peerGap       = time.Second
	peerTimeout   = time.Second
	replyBytes    = 256 << 10
	snapshotIDs   = 1024
	peersPerRound = 2
)

// askPeers fetches records from the next peers in turn.
func (s *Stream) askPeers(ctx context.Context) {
	as := s.live()
	for range min(peersPerRound, len(as)) {
		a := as[s.rotation%len(as)]
		s.rotation++
		if err := s.askPeer(ctx, a); err != nil {
			s.scope.Counter("peer_errors").Inc(1)
		}
	}
}

// askPeer fetches all records from one peer that were not delivered yet, or its snapshot.
func (s *Stream) askPeer(ctx context.Context, a netip.AddrPort) error {
	for {
		next := s.Next()
		req := &wire.RecordsRequest{From: next, Limit: readLimit}
		var reply wire.RecordsReply
		if err := s.call(ctx, a, "Peer.Records", req, &reply); err != nil {
			return err
		}
		s.scope.Counter("peer_fetches").Inc(1)
		if reply.GetNext() > next && reply.GetFirst() > next {
			if !s.loadFrom(ctx, a, next+1) {
				return fmt.Errorf("load snapshot from %s: %w", a, ErrLogDown)
			}
			continue
		}
		count := s.deliverAll(reply.GetRecords())
		if count == 0 || s.Next() >= reply.GetNext() {
			s.noteReached(&reply)
			return nil
		}
	}
}

// noteReached counts the host as caught up once a peer that is has nothing more; the log may still have more.
func (s *Stream) noteReached(r *wire.RecordsReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.GetCaughtUp() && !s.trustsAnyPeer {
		return
	}
	s.known = max(s.known, r.GetNext())
	s.reached = s.reached || s.next >= r.GetNext()
}

func (s *Stream) deliverAll(rs []*wire.LogRecord) int {
	count := 0
	for _, r := range rs {
		p := port.Record{Offset: r.GetOffset(), At: time.UnixMilli(r.GetUnixMillis()), Data: r.GetData()}
		if s.deliver(p) {
			count++
		}
	}
	return count
}

// loadFromPeers loads the first snapshot of a live peer that reaches least.
func (s *Stream) loadFromPeers(ctx context.Context, least uint64) bool {
	for _, a := range s.live() {
		if s.loadFrom(ctx, a, least) {
			return true
		}
	}
	return false
}

func (s *Stream) loadFrom(ctx context.Context, a netip.AddrPort, least uint64) bool {
	var r wire.SnapshotReply
	if err := s.call(ctx, a, "Peer.Snapshot", &wire.Empty{}, &r); err != nil {
		s.scope.Counter("peer_errors").Inc(1)
		return false
	}
	if !r.GetCaughtUp() || r.GetOffset() < least {
		return false
	}
	return s.load(&r) == nil
}

// load replaces the state by that of a peer, which is never older.
func (s *Stream) load(r *wire.SnapshotReply) error {
	s.fold.Lock()
	defer s.fold.Unlock()
	if r.GetOffset() <= s.Next() {
		return fmt.Errorf("load snapshot at %d: %w", r.GetOffset(), ErrLogDown)
	}
	for _, f := range s.loadSnapshot {
		if err := f(r); err != nil {
			return fmt.Errorf("load snapshot at %d: %w", r.GetOffset(), err)
		}
	}
	s.scope.Counter("snapshots_loaded").Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = r.GetOffset()
	s.known = max(s.known, s.next)
	s.history.reset()
	for _, id := range r.GetRecentIds() {
		s.ids.add(id, s.next-1)
		s.finish(id, s.next-1)
	}
	return nil
}

func (s *Stream) call(ctx context.Context, a netip.AddrPort, method string, req, reply proto.Message) error {
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := s.peers.Call(c, a, method, req, reply); err != nil {
		return fmt.Errorf("call %s of %s: %w", method, a, err)
	}
	return nil
}

// Records answers a peer with the raw records that it asks for, as far as they are kept.
func (s *Stream) Records(_ context.Context, req *wire.RecordsRequest, reply *wire.RecordsReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.First = s.history.first(s.next)
	reply.Next = s.next
	reply.CaughtUp = s.reached
	limit := min(int(req.GetLimit()), readLimit)
	for _, r := range s.history.from(req.GetFrom(), limit, replyBytes) {
		reply.Records = append(reply.Records, &wire.LogRecord{
			Offset:     r.Offset,
			UnixMillis: r.At.UnixMilli(),
			Data:       r.Data,
		})
	}
	return nil
}

// Snapshot answers a peer with the folded state and the offset that it stands for.
func (s *Stream) Snapshot(_ context.Context, _ *wire.Empty, reply *wire.SnapshotReply) error {
	s.fold.Lock()
	defer s.fold.Unlock()
	for _, f := range s.takeSnapshot {
		if err := f(reply); err != nil {
			return fmt.Errorf("take snapshot: %w", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Offset = s.next
	reply.CaughtUp = s.reached
	reply.RecentIds = s.ids.newest(snapshotIDs)
	return nil
}
