package once

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// fillBytes bounds one request that fills a peer, in bytes.
const fillBytes = 256 << 10

// markerShare is the part of a marker's validity after which it is renewed.
const markerShare = 3

var errBehind = errors.New("claims are kept outside the log")

// Renew fills peers that lack claims and appends a marker that names the hosts which hold all of them.
func (b *Book) Renew(ctx context.Context, t fleet.Term) error {
	if err := b.Open(ctx, t); err != nil {
		return err
	}
	return b.renew(ctx, t)
}

func (b *Book) renew(ctx context.Context, t fleet.Term) error {
	b.mu.Lock()
	behind := b.backlog()
	failed := b.logFailed
	b.mu.Unlock()
	if failed || !b.isUp() {
		// A marker that peers know of and that never comes to the log would only delay claims outside it.
		if err := b.barrier(ctx, t); err != nil {
			return fmt.Errorf("renew marker: %w", err)
		}
	}
	if behind > 0 {
		return fmt.Errorf("renew marker: %d records are not in the log: %w", behind, errBehind)
	}
	whole, err := b.probe(ctx, t)
	if err != nil {
		return fmt.Errorf("renew marker: %w", err)
	}
	m := &wire.OnceMarker{
		Domain:          b.domain,
		Term:            termOf(t),
		UntilUnixMillis: b.clock.Now().Add(b.bounds.Validity).UnixMilli(),
		Hosts:           append(whole, b.host),
	}
	sort.Strings(m.Hosts)
	hs, err := b.spread(ctx, &wire.ClaimRequest{Term: termOf(t), Marker: m})
	if err != nil {
		return fmt.Errorf("renew marker: %w", err)
	}
	for _, h := range m.GetHosts() {
		if !hs[h] {
			return fmt.Errorf("renew marker: %w", ErrMemoryMissing{Why: "host " + h + " does not answer"})
		}
	}
	if err := b.enoughBefore(hs, m); err != nil {
		return fmt.Errorf("renew marker: %w", err)
	}
	return b.writeMarker(ctx, m)
}

// enoughBefore checks that the hosts of the group before the marker know of it, or that none of them is left.
func (b *Book) enoughBefore(hs holders, m *wire.OnceMarker) error {
	err := b.enough(hs, withLog)
	if err != nil && b.isFresh(hs) {
		m.Fresh = true
		return nil
	}
	return err
}

func (b *Book) writeMarker(ctx context.Context, m *wire.OnceMarker) error {
	if err := b.check(); err != nil {
		return fmt.Errorf("renew marker: %w", err)
	}
	if b.append == nil {
		return ErrMemoryMissing{Why: "there is no log"}
	}
	r := b.record("marker", fleetTerm(m.GetTerm()).String(), strconv.FormatInt(m.GetUntilUnixMillis(), 10))
	r.Body = &wire.Record_Marker{Marker: m}
	if err := b.appendAndRead(ctx, r); err != nil {
		return fmt.Errorf("renew marker: %w", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.marks.force; f.GetUntilUnixMillis() != m.GetUntilUnixMillis() || fleetTerm(f.GetTerm()) != fleetTerm(m.GetTerm()) {
		return ErrMemoryMissing{Why: "another marker stands in the log"}
	}
	b.stats.markers.Inc(1)
	return nil
}

// probeRounds bounds how often the peers are compared when the book changes meanwhile.
const probeRounds = 3

// probe returns the peers that hold everything, after filling those that do not.
func (b *Book) probe(ctx context.Context, t fleet.Term) ([]string, error) {
	for range probeRounds {
		q := b.question(t, b.clock.Now().UnixMilli())
		var whole []string
		for _, p := range b.peers() {
			ok, err := b.compare(ctx, p, q)
			if err != nil {
				return nil, err
			}
			if ok {
				whole = append(whole, p.Name)
			}
		}
		if b.question(t, q.GetAsOfUnixMillis()).GetDigest() == q.GetDigest() {
			return whole, nil
		}
	}
	return nil, ErrMemoryMissing{Why: "the hosts' claims differ"}
}

// question asks a peer whether it holds what this host holds as of a time.
func (b *Book) question(t fleet.Term, asOf int64) *wire.ClaimRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A peer that becomes whole must know the group that its claims have to meet.
	return &wire.ClaimRequest{
		Term:           termOf(t),
		Marker:         b.marks.newest(),
		AsOfUnixMillis: asOf,
		Digest:         b.digest(asOf),
	}
}

// compare reports whether a peer holds everything; one that does not is filled first.
func (b *Book) compare(ctx context.Context, p Peer, q *wire.ClaimRequest) (bool, error) {
	r := b.askPeer(ctx, p, q)
	if r == nil {
		return false, nil
	}
	if err := b.takeReply(q, r); err != nil {
		return false, err
	}
	if r.GetDigest() != q.GetDigest() {
		r = b.fill(ctx, p, q)
	}
	return r.GetComplete() && r.GetDigest() == q.GetDigest(), nil
}

// fill exchanges everything with a peer, and returns its reply to the question q afterwards.
func (b *Book) fill(ctx context.Context, p Peer, q *wire.ClaimRequest) *wire.ClaimReply {
	b.stats.filled.Inc(1)
	if _, err := b.fetch(ctx, p); err != nil {
		return nil
	}
	for _, part := range b.pages(q.GetTerm()) {
		if b.askPeer(ctx, p, part) == nil {
			return nil
		}
	}
	return b.askPeer(ctx, p, q)
}

// pages splits all that is held into requests of bounded size.
func (b *Book) pages(t *wire.Term) []*wire.ClaimRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*wire.ClaimRequest
	size := fillBytes
	for _, e := range b.entries {
		if size >= fillBytes {
			out = append(out, &wire.ClaimRequest{Term: t})
			size = 0
		}
		q := out[len(out)-1]
		q.Claims = append(q.Claims, e.claim)
		size += proto.Size(e.claim)
		if e.outcome != nil {
			q.Outcomes = append(q.Outcomes, e.outcome)
			size += proto.Size(e.outcome)
		}
	}
	return out
}

// isMarkerDue reports whether the marker has to be renewed, for its age or because other hosts are live.
func (b *Book) isMarkerDue(now time.Time) bool {
	names := map[string]bool{b.host: true}
	for _, p := range b.peers() {
		names[p.Name] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.marks.force
	if m == nil || b.marks.vouched || len(m.GetHosts()) != len(names) {
		return true
	}
	for _, h := range m.GetHosts() {
		if !names[h] {
			return true
		}
	}
	left := time.UnixMilli(m.GetUntilUnixMillis()).Sub(now)
	return left <= b.bounds.Validity-b.bounds.Validity/markerShare
}
