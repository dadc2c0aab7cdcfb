package dedup

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

// fillRequestBytes is the size at which a request that fills a peer is closed.
const fillRequestBytes = 256 << 10

// markerRenewDivisor determines when a marker is renewed: when its age reaches its validity divided by this value.
const markerRenewDivisor = 3

var errBacklog = errors.New("claims are stored outside the log")

// Renew fills peers that lack claims and appends a marker that names the hosts that hold all of them.
func (l *Ledger) Renew(ctx context.Context, t fleet.Term) error {
	if err := l.Open(ctx, t); err != nil {
		return err
	}
	return l.renewMarker(ctx, t)
}

func (l *Ledger) renewMarker(ctx context.Context, t fleet.Term) error {
	l.mu.Lock()
	behind := l.backlog()
	failed := l.logFailed
	l.mu.Unlock()
	if failed || !l.isUp() {
		// A marker that the peers know of and that never reaches the log would only delay claims outside the log.
		if err := l.barrier(ctx, t); err != nil {
			return fmt.Errorf("renew marker: %w", err)
		}
	}
	if behind > 0 {
		return fmt.Errorf("renew marker: %d records in the backlog: %w", behind, errBacklog)
	}
	complete, err := l.findCompletePeers(ctx, t)
	if err != nil {
		return fmt.Errorf("renew marker: %w", err)
	}
	m := &wire.OnceMarker{
		Domain:          l.domain,
		Term:            termOf(t),
		UntilUnixMillis: l.clock.Now().Add(l.bounds.Validity).UnixMilli(),
		Hosts:           append(complete, l.host),
	}
	sort.Strings(m.Hosts)
	hs, err := l.broadcast(ctx, &wire.ClaimRequest{Term: termOf(t), Marker: m})
	if err != nil {
		return fmt.Errorf("renew marker: %w", err)
	}
	for _, h := range m.GetHosts() {
		if !hs[h] {
			return fmt.Errorf("renew marker: %w", ErrClaimsMissing{Why: "host " + h + " does not answer"})
		}
	}
	if err := l.checkPreviousGroup(hs, m); err != nil {
		return fmt.Errorf("renew marker: %w", err)
	}
	return l.appendMarker(ctx, m)
}

// checkPreviousGroup checks that a quorum of the previous group knows the marker, or that the new group may replace it.
func (l *Ledger) checkPreviousGroup(hs holders, m *wire.OnceMarker) error {
	err := l.checkQuorum(hs, withLog)
	if err != nil && l.canReplaceGroup(hs) {
		m.Fresh = true
		return nil
	}
	return err
}

func (l *Ledger) appendMarker(ctx context.Context, m *wire.OnceMarker) error {
	if err := l.check(); err != nil {
		return fmt.Errorf("renew marker: %w", err)
	}
	if l.appendRecord == nil {
		return ErrClaimsMissing{Why: "no log is configured"}
	}
	r := l.record("marker", fleetTerm(m.GetTerm()).String(), strconv.FormatInt(m.GetUntilUnixMillis(), 10))
	r.Body = &wire.Record_Marker{Marker: m}
	if err := l.appendAndReadBack(ctx, r); err != nil {
		return fmt.Errorf("renew marker: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.markers.logged; f.GetUntilUnixMillis() != m.GetUntilUnixMillis() || fleetTerm(f.GetTerm()) != fleetTerm(m.GetTerm()) {
		return ErrClaimsMissing{Why: "the newest marker in the log is another one"}
	}
	l.stats.markers.Inc(1)
	return nil
}

// maxProbeRounds is how often the peers are compared at most while this host's claims keep changing.
const maxProbeRounds = 3

// findCompletePeers returns the names of the peers that hold every claim, after filling those that do not.
func (l *Ledger) findCompletePeers(ctx context.Context, t fleet.Term) ([]string, error) {
	for range maxProbeRounds {
		q := l.digestRequest(t, l.clock.Now().UnixMilli())
		var complete []string
		for _, p := range l.peers() {
			ok, err := l.compareDigest(ctx, p, q)
			if err != nil {
				return nil, err
			}
			if ok {
				complete = append(complete, p.Name)
			}
		}
		if l.digestRequest(t, q.GetAsOfUnixMillis()).GetDigest() == q.GetDigest() {
			return complete, nil
		}
	}
	return nil, ErrClaimsMissing{Why: "claims changed while they were compared with the peers"}
}

// digestRequest returns the request that asks a peer whether it holds the same claims as this host as of a time.
func (l *Ledger) digestRequest(t fleet.Term, asOf int64) *wire.ClaimRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A peer that becomes complete has to know the group in which its claims need a quorum.
	return &wire.ClaimRequest{
		Term:           termOf(t),
		Marker:         l.markers.newest(),
		AsOfUnixMillis: asOf,
		Digest:         l.digest(asOf),
	}
}

// compareDigest reports whether a peer holds every claim; a peer with another digest is filled first.
func (l *Ledger) compareDigest(ctx context.Context, p Peer, q *wire.ClaimRequest) (bool, error) {
	r := l.callPeer(ctx, p, q)
	if r == nil {
		return false, nil
	}
	if err := l.mergeReply(q, r); err != nil {
		return false, err
	}
	if r.GetDigest() != q.GetDigest() {
		r = l.fillPeer(ctx, p, q)
	}
	return r.GetComplete() && r.GetDigest() == q.GetDigest(), nil
}

// fillPeer exchanges all claims and outcomes with a peer, and returns its reply to the digest request q afterwards.
func (l *Ledger) fillPeer(ctx context.Context, p Peer, q *wire.ClaimRequest) *wire.ClaimReply {
	l.stats.filled.Inc(1)
	if _, err := l.fetchClaims(ctx, p); err != nil {
		return nil
	}
	for _, part := range l.fillRequests(q.GetTerm()) {
		if l.callPeer(ctx, p, part) == nil {
			return nil
		}
	}
	return l.callPeer(ctx, p, q)
}

// fillRequests splits all claims and outcomes into requests of bounded size.
func (l *Ledger) fillRequests(t *wire.Term) []*wire.ClaimRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*wire.ClaimRequest
	size := fillRequestBytes
	for _, e := range l.entries {
		if size >= fillRequestBytes {
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

// isMarkerDue reports whether the marker has to be renewed, because of its age or because the live hosts differ from its group.
func (l *Ledger) isMarkerDue(now time.Time) bool {
	names := map[string]bool{l.host: true}
	for _, p := range l.peers() {
		names[p.Name] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.markers.logged
	if m == nil || l.markers.waived || len(m.GetHosts()) != len(names) {
		return true
	}
	for _, h := range m.GetHosts() {
		if !names[h] {
			return true
		}
	}
	left := time.UnixMilli(m.GetUntilUnixMillis()).Sub(now)
	return left <= l.bounds.Validity-l.bounds.Validity/markerRenewDivisor
}
