package tests

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/stretchr/testify/require"
)

const (
	// soakAttempts and soakMoreAttempts are the numbers of failed runs of a task that configurations allow.
	soakAttempts     = 3
	soakMoreAttempts = 5
	soakStretch      = 3
	// soakChangeGap is the time between two changes of a series.
	soakChangeGap = 150 * time.Millisecond
)

// soakConfig is the configuration that the operator publishes.
type soakConfig struct {
	version int64
	orgs    []string
	// keys and guarantees hold the valid API key and the guaranteed accelerators of each organisation.
	keys       map[string]string
	guarantees map[string]int
	attempts   int
	stretch    float64
	// isShort is set while there is no normal queue.
	isShort bool
}

func newSoakConfig(p *soakPlan) soakConfig {
	c := soakConfig{orgs: p.orgs, keys: map[string]string{}, guarantees: map[string]int{}, attempts: soakAttempts, stretch: soakStretch}
	for _, o := range p.orgs {
		c.keys[o], c.guarantees[o] = o+"-0", p.guarantee
	}
	return c
}

// route returns the configuration of a queue.
func (c *soakConfig) route(name string, priority int, objective time.Duration) map[string]any {
	return map[string]any{
		"name": name, "hostname": soakHostname, "path_prefix": "/" + name + "/", "service": "svc", "priority": priority,
		"max_attempts": c.attempts, "stretch": c.stretch, "latency_slo_ms": objective.Milliseconds(),
	}
}

func (c *soakConfig) encode() ([]byte, error) {
	var tenants []any
	for _, o := range c.orgs {
		tenants = append(tenants, map[string]any{"name": o, "api_keys": []string{c.keys[o]}, "guaranteed": map[string]any{"gpus": c.guarantees[o]}})
	}
	routes := []any{c.route("urgent", 0, 300*time.Millisecond), c.route("quiet", 2, 3*time.Second)}
	if !c.isShort {
		routes = append(routes, c.route("normal", 1, time.Second))
	}
	return json.Marshal(map[string]any{"version": c.version, "tenants": tenants, "routes": routes})
}

// configure changes the configuration and publishes it as a new version.
func (s *soakSite) configure(f func(c *soakConfig)) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	f(&s.config)
	s.config.version += 3
	b, err := s.config.encode()
	require.NoError(s.t, err)
	s.appendAsPlatform(operatorTopic, port.Entry{Key: "config", Value: b})
}

// key returns the valid API key of an organisation.
func (s *soakSite) key(org string) string {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	return s.config.keys[org]
}

// change changes the configuration as a fault says.
func (s *soakSite) change(f soakFault) {
	switch f.kind {
	case "revoke":
		s.revoke(f)
	case "shares change":
		s.configure(func(c *soakConfig) { c.shift(f.magnitude, s.plan.guarantee) })
	case "limits change":
		s.configure((*soakConfig).switchLimits)
	case "queue goes":
		s.configure(func(c *soakConfig) { c.isShort = true })
		s.sleep(f.duration)
		s.configure(func(c *soakConfig) { c.isShort = false })
	case "configuration series":
		for i := range 4 {
			s.configure(func(c *soakConfig) { c.shift(f.magnitude+i, s.plan.guarantee) })
			s.sleep(soakChangeGap)
			s.configure((*soakConfig).switchLimits)
			s.sleep(soakChangeGap)
		}
	}
}

// shift gives each organisation no guarantee, the planned one, or twice that.
func (c *soakConfig) shift(n, guarantee int) {
	for i, o := range c.orgs {
		c.guarantees[o] = guarantee * ((n + i) % 3)
	}
}

func (c *soakConfig) switchLimits() {
	c.attempts = soakAttempts + soakMoreAttempts - c.attempts
	c.stretch = 3*soakStretch - c.stretch
}

// revoke replaces the API key of an organisation, and checks that every host rejects the old one after the revocation
// time.
func (s *soakSite) revoke(f soakFault) {
	org := s.plan.orgs[f.magnitude%len(s.plan.orgs)]
	old := ""
	s.configure(func(c *soakConfig) {
		old = c.keys[org]
		c.keys[org] = fmt.Sprintf("%s-%d", org, f.startAt)
	})
	s.sleep(soakRevokeTimeout)
	id := fmt.Sprintf("%016x", 1<<40+int64(f.startAt))
	for i, h := range s.hosts {
		q := soakRequest{http.MethodPost, "quiet", fmt.Sprintf("%s%x", id[:15], i%16), old, []byte(`{"spec":"x","steps":[{"count":1,"cpu":1}]}`), 0}
		if s.call(h, q).status == http.StatusOK {
			s.violate("%s accepted a key that was revoked %s before", h.name, soakRevokeTimeout)
		}
	}
}
