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
	peerRetryInterval = time.Second
	peerCallTimeout   = time.Second
	maxReplyBytes     = 256 << 10
	maxSnapshotIDs    = 1024
	peersPerRound     = 2
)

// fetchFromPeers fetches missing records from the next peers, in round-robin order.
func (s *Stream) fetchFromPeers(ctx context.Context) {
	as := s.livePeers()
	for range min(peersPerRound, len(as)) {
		a := as[s.peerIndex%len(as)]
		s.peerIndex++
		if err := s.fetchFromPeer(ctx, a); err != nil {
			s.scope.Counter("peer_errors").Inc(1)
		}
	}
}

// fetchFromPeer fetches all records that were not delivered yet from one peer. If the peer no longer keeps the next
// one, its snapshot is loaded first.
func (s *Stream) fetchFromPeer(ctx context.Context, a netip.AddrPort) error {
	for {
		next := s.Next()
		req := &wire.RecordsRequest{From: next, Limit: maxReadRecords}
		var reply wire.RecordsReply
		if err := s.callPeer(ctx, a, "Peer.Records", req, &reply); err != nil {
			return err
		}
		s.scope.Counter("peer_fetches").Inc(1)
		if reply.GetNext() > next && reply.GetFirst() > next {
			if !s.loadSnapshotFrom(ctx, a, next+1) {
				return fmt.Errorf("load snapshot from %s: %w", a, ErrLogDown)
			}
			continue
		}
		count := s.deliverAll(reply.GetRecords())
		if count == 0 || s.Next() >= reply.GetNext() {
			s.updateCaughtUp(&reply)
			return nil
		}
	}
}

// updateCaughtUp marks the stream as caught up once it has all records of a peer that is caught up itself. The log may
// have more.
func (s *Stream) updateCaughtUp(r *wire.RecordsReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.GetCaughtUp() && !s.disablePeerCheck {
		return
	}
	s.knownEnd = max(s.knownEnd, r.GetNext())
	s.hasCaughtUp = s.hasCaughtUp || s.next >= r.GetNext()
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

// loadSnapshotFromPeers loads the first snapshot of a live peer whose offset is at least minOffset.
func (s *Stream) loadSnapshotFromPeers(ctx context.Context, minOffset uint64) bool {
	for _, a := range s.livePeers() {
		if s.loadSnapshotFrom(ctx, a, minOffset) {
			return true
		}
	}
	return false
}

func (s *Stream) loadSnapshotFrom(ctx context.Context, a netip.AddrPort, minOffset uint64) bool {
	var r wire.SnapshotReply
	if err := s.callPeer(ctx, a, "Peer.Snapshot", &wire.Empty{}, &r); err != nil {
		s.scope.Counter("peer_errors").Inc(1)
		return false
	}
	if !r.GetCaughtUp() || r.GetOffset() < minOffset {
		return false
	}
	return s.installSnapshot(&r) == nil
}

// installSnapshot replaces the state by a peer's snapshot. A snapshot that is not newer than the state is rejected.
func (s *Stream) installSnapshot(r *wire.SnapshotReply) error {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	if r.GetOffset() <= s.Next() {
		return fmt.Errorf("load snapshot at %d: %w", r.GetOffset(), ErrLogDown)
	}
	for _, f := range s.snapshotLoaders {
		if err := f(r); err != nil {
			return fmt.Errorf("load snapshot at %d: %w", r.GetOffset(), err)
		}
	}
	s.scope.Counter("snapshots_loaded").Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = r.GetOffset()
	s.knownEnd = max(s.knownEnd, s.next)
	s.history.reset()
	for _, id := range r.GetRecentIds() {
		s.recentIDs.add(id, s.next-1)
		s.resolve(id, s.next-1)
	}
	return nil
}

func (s *Stream) callPeer(ctx context.Context, a netip.AddrPort, method string, req, reply proto.Message) error {
	c, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	if err := s.peers.Call(c, a, method, req, reply); err != nil {
		return fmt.Errorf("call %s of %s: %w", method, a, err)
	}
	return nil
}

// Records serves the raw records that a peer requests, as far as they are kept.
func (s *Stream) Records(_ context.Context, req *wire.RecordsRequest, reply *wire.RecordsReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.First = s.history.first(s.next)
	reply.Next = s.next
	reply.CaughtUp = s.hasCaughtUp
	limit := min(int(req.GetLimit()), maxReadRecords)
	for _, r := range s.history.from(req.GetFrom(), limit, maxReplyBytes) {
		reply.Records = append(reply.Records, &wire.LogRecord{
			Offset:     r.Offset,
			UnixMillis: r.At.UnixMilli(),
			Data:       r.Data,
		})
	}
	return nil
}

// Snapshot serves the current state and the offset after the last record it includes.
func (s *Stream) Snapshot(_ context.Context, _ *wire.Empty, reply *wire.SnapshotReply) error {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	for _, f := range s.snapshotWriters {
		if err := f(reply); err != nil {
			return fmt.Errorf("take snapshot: %w", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Offset = s.next
	reply.CaughtUp = s.hasCaughtUp
	reply.RecentIds = s.recentIDs.newest(maxSnapshotIDs)
	return nil
}
