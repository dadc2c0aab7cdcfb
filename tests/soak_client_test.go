package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// soakRequest is a request of a client.
type soakRequest struct {
	method string
	queue  string
	id     string
	key    string
	body   []byte
	// timeout is how long the client waits; zero stands for soakCallTimeout.
	timeout time.Duration
}

// soakResponse is the response to a request; its status is zero if no complete response arrived.
type soakResponse struct {
	status     int
	retryAfter time.Duration
	state      string
	// pending is the number of pending jobs of a queue.
	pending int
}

var soakClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// call sends a request. A request that a host received before SIGTERM must get a complete response.
func (s *soakSite) call(h *soakHost, c soakRequest) soakResponse {
	timeout := soakCallTimeout
	if c.timeout > 0 {
		timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(s.t.Context(), timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/%s/%s", h.ip, callerPort, c.queue, c.id)
	r, err := http.NewRequestWithContext(ctx, c.method, url, bytes.NewReader(c.body))
	if err != nil {
		s.violate("build request: %v", err)
		return soakResponse{}
	}
	r.Host = soakHostname
	r.Header.Set("X-Api-Key", c.key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	sentAt := time.Now()
	p, err := soakClient.Do(r)
	if err != nil {
		s.checkBrokenRequest(h, sentAt, err)
		return soakResponse{}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		s.checkBrokenRequest(h, sentAt, err)
		return soakResponse{}
	}
	return s.decodeResponse(h, p, b)
}

func (s *soakSite) decodeResponse(h *soakHost, p *http.Response, body []byte) soakResponse {
	out := soakResponse{status: p.StatusCode}
	var m struct {
		State   string `json:"state"`
		Pending int    `json:"pending"`
	}
	if len(body) > 0 && json.Unmarshal(body, &m) != nil {
		s.violate("%s answered %d with a body that is not valid JSON", h.name, p.StatusCode)
	}
	out.state, out.pending = m.State, m.Pending
	if p.StatusCode != http.StatusServiceUnavailable {
		return out
	}
	after, err := strconv.Atoi(p.Header.Get("Retry-After"))
	if err != nil || after <= 0 {
		s.violate("%s refused a request without a valid Retry-After header", h.name)
	}
	out.retryAfter = time.Duration(after) * time.Second
	return out
}

// checkBrokenRequest records a violation if a host failed a request that was sent before a planned stop.
func (s *soakSite) checkBrokenRequest(h *soakHost, sentAt time.Time, err error) {
	leavingAt := h.leavingTime()
	isPlanned := !leavingAt.IsZero() && sentAt.Before(leavingAt) && time.Since(leavingAt) < soakGracePeriod
	if isPlanned && s.isStoreFaultFree(sentAt.Add(-soakContactTime)) && !errors.Is(err, context.DeadlineExceeded) {
		s.violate("%s aborted a request that was sent %s before SIGTERM: %v", h.name, leavingAt.Sub(sentAt), err)
	}
}
