package daemon

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/coordination/mirror"
	"github.com/auburncleat/auburncleat/internal/coordination/route"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/transport/status"
)

// assumedLinkCost is the one-way delay between failure domains that routing assumes.
const assumedLinkCost = 5 * time.Millisecond

func offsetText(n uint64) string {
	return "offset " + strconv.FormatUint(n, 10)
}

// findOwner returns the address of the last known owner of a failure domain.
func (d *Daemon) findOwner(domain string) (netip.AddrPort, bool) {
	if domain == d.settings.Host.Domain {
		_, a, ok := d.owner.Current()
		return a, ok
	}
	for _, view := range d.members.FindDomains() {
		if view.Domain == domain {
			return d.ownerOf(view)
		}
	}
	return netip.AddrPort{}, false
}

// ownerOf returns the address of the host that the term of a digest names. The members of the digest can be older than its
// term if a relayed update was lost; if they do not include that host, ownerOf looks for it among all known hosts.
func (d *Daemon) ownerOf(v member.DomainView) (netip.AddrPort, bool) {
	for _, m := range v.Members {
		if m.Name == v.Term.Host {
			return m.Addr, true
		}
	}
	return d.members.FindAddr(v.Term.Host)
}

func (d *Daemon) routeViews() []route.DomainLoad {
	l := d.members.Load()
	out := []route.DomainLoad{{Domain: d.settings.Host.Domain, Wait: waitByUrgency(l.UrgentWait, l.NormalWait, l.QuietWait)}}
	for _, v := range d.members.FindDomains() {
		out = append(out, route.DomainLoad{
			Domain:   v.Domain,
			Wait:     waitByUrgency(v.UrgentWait, v.NormalWait, v.QuietWait),
			LinkCost: assumedLinkCost,
		})
	}
	return out
}

func waitByUrgency(urgent, normal, quiet time.Duration) map[string]time.Duration {
	return map[string]time.Duration{
		string(config.Urgent): urgent,
		string(config.Normal): normal,
		string(config.Quiet):  quiet,
	}
}

// readyHosts returns the hosts of the failure domain that renew leases of workers.
func (d *Daemon) readyHosts() []string {
	var out []string
	for _, m := range d.members.Live(d.settings.Host.Domain) {
		if m.IsUsable() {
			out = append(out, m.Name)
		}
	}
	return out
}

func (d *Daemon) dedupPeers() []dedup.Peer {
	var out []dedup.Peer
	for _, m := range d.members.Peers() {
		out = append(out, dedup.Peer{Name: m.Name, Addr: m.Addr})
	}
	return out
}

func (d *Daemon) mirrorPeers() []mirror.Peer {
	var out []mirror.Peer
	for _, m := range d.members.Peers() {
		if m.IsUsable() {
			out = append(out, mirror.Peer{Name: m.Name, Addr: m.Addr})
		}
	}
	return out
}

func (d *Daemon) hostViews() []status.HostView {
	t, _, _ := d.owner.Current()
	var out []status.HostView
	for _, m := range d.members.Live(d.settings.Host.Domain) {
		out = append(out, hostView(m, t.Host))
	}
	for _, v := range d.members.FindDomains() {
		for _, m := range v.Members {
			out = append(out, hostView(m, v.Term.Host))
		}
	}
	return out
}

func hostView(m member.Member, owner string) status.HostView {
	s := string(m.State)
	if m.IsSuspect {
		s = "Suspect"
	}
	return status.HostView{
		Name:         m.Name,
		Domain:       m.Domain,
		Addr:         m.Addr.String(),
		State:        s,
		Owner:        m.Name == owner,
		ConfigOffset: m.ConfigOffset,
		LastHeard:    m.LastHeard,
	}
}

func (d *Daemon) keysView() status.KeysView {
	return status.KeysView(d.ledger.Status())
}
