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
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"google.golang.org/protobuf/proto"
)

var hostsTopic = port.Topic{Name: "hosts", IsKeyed: true}

const (
	// longPollWait is how long the store may hold a read for changes of the host list, which are rare.
	longPollWait = 10 * time.Second
	// announceRetryDelay is the delay before a failed registration of this host is retried.
	announceRetryDelay = 500 * time.Millisecond
)

// Host is a host as listed in the store.
type Host struct {
	Name   string
	Domain string
	Addr   netip.AddrPort
}

// Hosts registers this host in the store's host list and follows that list.
type Hosts struct {
	store    port.Store
	self     Host
	clock    clock.Clock
	log      *slog.Logger
	follower *feed.Follower

	mu    sync.Mutex
	hosts map[string]Host
}

// NewHosts returns an empty host list; Run registers self and fills the list.
func NewHosts(s port.Store, self Host, c clock.Clock, l *slog.Logger) *Hosts {
	h := &Hosts{store: s, self: self, clock: c, log: l, hosts: map[string]Host{}}
	h.follower = feed.NewFollower(s, hostsTopic, feed.Handler{Reload: h.reload, Apply: h.apply}, c, l, feed.WithPollWait(longPollWait))
	return h
}

// Run registers this host and follows the host list until ctx is cancelled.
func (h *Hosts) Run(ctx context.Context) error {
	go h.announce(ctx)
	return h.follower.Run(ctx)
}

// announce registers this host, and retries until the store has accepted the record.
func (h *Hosts) announce(ctx context.Context) {
	b, err := proto.Marshal(&wire.HostRecord{Domain: h.self.Domain, Addr: h.self.Addr.String()})
	if err != nil {
		h.log.Error("cannot encode the record of this host", "Cause", err.Error())
		return
	}
	for h.writeRecord(ctx, b) != nil {
		if h.clock.Sleep(ctx, announceRetryDelay) != nil {
			return
		}
	}
}

func (h *Hosts) writeRecord(ctx context.Context, value []byte) error {
	_, err := h.store.Append(ctx, port.Append{Topic: hostsTopic, Entries: []port.Entry{{Key: h.self.Name, Value: value}}})
	if err != nil {
		return fmt.Errorf("write record of host %s: %w", h.self.Name, err)
	}
	return nil
}

// Leave removes this host from the list.
func (h *Hosts) Leave(ctx context.Context) error {
	return h.writeRecord(ctx, nil)
}

func (h *Hosts) reload(es []port.Entry, _ int64) {
	isListed := map[string]bool{}
	for _, e := range es {
		isListed[e.Key] = true
		h.apply(e)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.hosts, func(name string, _ Host) bool { return !isListed[name] })
}

func (h *Hosts) apply(e port.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(e.Value) == 0 {
		delete(h.hosts, e.Key)
		return
	}
	x, err := decodeHost(e)
	if err != nil {
		// The host is still there: it writes its record only once.
		h.log.Warn("host record is invalid", "Name", e.Key, "Cause", err.Error())
		return
	}
	h.hosts[e.Key] = x
}

// decodeHost returns the host that a record names, or why it names none.
func decodeHost(e port.Entry) (Host, error) {
	var m wire.HostRecord
	if err := proto.Unmarshal(e.Value, &m); err != nil {
		return Host{}, fmt.Errorf("decode record: %w", err)
	}
	a, err := netip.ParseAddrPort(m.GetAddr())
	if err != nil {
		return Host{}, fmt.Errorf("parse address: %w", err)
	}
	if err := fleet.CheckAddr(a); err != nil {
		return Host{}, fmt.Errorf("check address: %w", err)
	}
	return Host{Name: e.Key, Domain: m.GetDomain(), Addr: a}, nil
}

// FindOthers returns the other hosts, those of the local failure domain first, each group sorted by name.
func (h *Hosts) FindOthers() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Host
	for n, x := range h.hosts {
		if n != h.self.Name {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b Host) int {
		return cmp.Or(h.distance(a)-h.distance(b), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// FindAll returns all listed hosts, sorted by name.
func (h *Hosts) FindAll() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Collect(maps.Values(h.hosts))
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (h *Hosts) distance(x Host) int {
	if x.Domain == h.self.Domain {
		return 0
	}
	return 1
}
