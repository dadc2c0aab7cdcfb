package member

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// digestsFor returns the digests that this host received directly and has not relayed to p. The caller holds m.mu.
func (m *Members) digestsFor(p *peer) []*wire.Digest {
	if p == nil {
		return nil
	}
	if p.relayed == nil {
		p.relayed = make(map[string]relayState)
	}
	now := m.clock.Now()
	var ds []*wire.Digest
	for domain, v := range m.views {
		r := p.relayed[domain]
		if len(ds) >= maxRelayedDigests || !v.lastDirect.After(r.viewAt) {
			continue
		}
		d := v.digest()
		r.viewAt = v.lastDirect
		if r.sum != v.membersSum {
			r.sum = v.membersSum
			r.membersSent = 0
		}
		if r.membersSent >= initialMemberRelays && now.Sub(r.membersSentAt) < relayMembersInterval {
			d.Members = nil
		} else {
			r.membersSent++
			r.membersSentAt = now
		}
		d.Usage = r.sentUsage.next(now, v.usage)
		p.relayed[domain] = r
		ds = append(ds, d)
	}
	return ds
}

// digest converts a view back to the digest it was built from.
func (v *view) digest() *wire.Digest {
	d := &wire.Digest{
		Domain:           v.Domain,
		Term:             wireTerm(v.Term),
		ConfigOffset:     v.ConfigOffset,
		FreeAccelerators: int32(v.FreeAccelerators),
		Accelerators:     int32(v.Accelerators),
		UrgentWaitMillis: v.UrgentWait.Milliseconds(),
		NormalWaitMillis: v.NormalWait.Milliseconds(),
		QuietWaitMillis:  v.QuietWait.Milliseconds(),
		MembersSum:       v.membersSum,
	}
	for _, o := range v.Members {
		w := wireMember(o, true)
		w.Domain = ""
		d.Members = append(d.Members, w)
	}
	return d
}

func (m *Members) recordRelayedDigests(ds []*wire.Digest) {
	for _, d := range ds {
		m.recordDigest(d, false)
		m.reportConfigOffset(d)
	}
}

// reportConfigOffset calls onNewerOffset with a host of the domain of d when that domain has read further in the log than this
// host. The host chosen changes every second.
func (m *Members) reportConfigOffset(d *wire.Digest) {
	if d.GetConfigOffset() <= m.configOffset() {
		return
	}
	ms := m.Live(d.GetDomain())
	if len(ms) == 0 {
		return
	}
	i := int(m.clock.Now().UnixNano()/int64(time.Second)) % len(ms)
	m.onNewerOffset(ms[i].Addr, d.GetConfigOffset())
}
