package relay

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/feed"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"google.golang.org/protobuf/proto"
)

var topic = port.Topic{Name: "hosts", IsKeyed: true}

const (
	// followWait is how long an idle read for other hosts is held back, as they change seldom.
	followWait = 10 * time.Second
	// announcePause is the time between two tries of a host to list itself.
	announcePause = 500 * time.Millisecond
)

// Host is another host as the store lists it.
type Host struct {
	Name   string
	Domain string
	Addr   netip.AddrPort
}

// Hosts lists this host in the store and follows the list of all.
type Hosts struct {
	store    port.Store
	self     Host
	clock    clock.Clock
	log      *slog.Logger
	follower *feed.Follower

	mu    sync.Mutex
	known map[string]Host
}

// NewHosts returns the list as a host sees it.
func NewHosts(s port.Store, self Host, c clock.Clock, l *slog.Logger) *Hosts {
	h := &Hosts{store: s, self: self, clock: c, log: l, known: map[string]Host{}}
	h.follower = feed.NewFollower(s, topic, feed.Handler{Reload: h.reload, Apply: h.apply}, c, l, feed.WithPollWait(followWait))
	return h
}

// Run lists this host and follows the others until ctx ends.
func (h *Hosts) Run(ctx context.Context) error {
	go h.announce(ctx)
	return h.follower.Run(ctx)
}

// announce lists this host, trying until the store has taken it.
func (h *Hosts) announce(ctx context.Context) {
	b, err := proto.Marshal(&wire.HostRecord{Domain: h.self.Domain, Addr: h.self.Addr.String()})
	if err != nil {
		h.log.Error("cannot encode this host", "Cause", err.Error())
		return
	}
	for h.put(ctx, b) != nil {
		if h.clock.Sleep(ctx, announcePause) != nil {
			return
		}
	}
}

func (h *Hosts) put(ctx context.Context, value []byte) error {
	_, err := h.store.Append(ctx, port.Append{Topic: topic, Entries: []port.Entry{{Key: h.self.Name, Value: value}}})
	if err != nil {
		return fmt.Errorf("list host %s: %w", h.self.Name, err)
	}
	return nil
}

// Leave takes this host off the list.
func (h *Hosts) Leave(ctx context.Context) error {
	return h.put(ctx, nil)
}

func (h *Hosts) reload(es []port.Entry, _ int64) {
	h.mu.Lock()
	clear(h.known)
	h.mu.Unlock()
	for _, e := range es {
		h.apply(e)
	}
}

func (h *Hosts) apply(e port.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(e.Value) == 0 {
		delete(h.known, e.Key)
		return
	}
	var m wire.HostRecord
	if err := proto.Unmarshal(e.Value, &m); err != nil {
		h.log.Warn("entry names no host", "Name", e.Key, "Cause", err.Error())
		return
	}
	a, err := netip.ParseAddrPort(m.GetAddr())
	if err != nil {
		h.log.Warn("entry names no host", "Name", e.Key, "Cause", err.Error())
		return
	}
	h.known[e.Key] = Host{Name: e.Key, Domain: m.GetDomain(), Addr: a}
}

// Find returns the other hosts, those of the own failure domain first.
func (h *Hosts) Find() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Host
	for n, x := range h.known {
		if n != h.self.Name {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b Host) int {
		return cmp.Or(h.distance(a)-h.distance(b), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// FindAll returns all hosts that are listed, by name.
func (h *Hosts) FindAll() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Collect(maps.Values(h.known))
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (h *Hosts) distance(x Host) int {
	if x.Domain == h.self.Domain {
		return 0
	}
	return 1
}
