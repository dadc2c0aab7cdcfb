package member

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// relayTo returns the digests that this host heard itself and p was not told of.
func (m *Members) relayTo(p *peer) []*wire.Digest {
	if p == nil {
		return nil
	}
	if p.relayed == nil {
		p.relayed = make(map[string]relay)
	}
	now := m.clock.Now()
	var ds []*wire.Digest
	for domain, v := range m.views {
		r := p.relayed[domain]
		if len(ds) >= maxRelayed || !v.firstHand.After(r.heard) {
			continue
		}
		d := v.digest()
		r.heard = v.firstHand
		if r.sum != v.sum {
			r.sum = v.sum
			r.times = 0
		}
		if r.times >= relayMembersTimes && now.Sub(r.members) < relayMembersEvery {
			d.Members = nil
		} else {
			r.times++
			r.members = now
		}
		d.Usage = r.told.pick(now, v.used)
		p.relayed[domain] = r
		ds = append(ds, d)
	}
	return ds
}

// digest renders a view as the digest that it came from.
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
		MembersSum:       v.sum,
	}
	for _, o := range v.Members {
		w := wireMember(o, true)
		w.Domain = ""
		d.Members = append(d.Members, w)
	}
	return d
}

func (m *Members) takeRelayed(ds []*wire.Digest) {
	for _, d := range ds {
		m.takeDigest(d, false)
		m.hintFrom(d)
	}
}

// hintFrom says which host of another failure domain has read more of the log.
func (m *Members) hintFrom(d *wire.Digest) {
	if d.GetConfigOffset() <= m.configOffset() {
		return
	}
	ms := m.Live(d.GetDomain())
	if len(ms) == 0 {
		return
	}
	i := int(m.clock.Now().UnixNano()/int64(time.Second)) % len(ms)
	m.onOffset(ms[i].Addr, d.GetConfigOffset())
}
