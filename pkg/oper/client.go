package oper

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/policy"
	"github.com/auburncleat/auburncleat/internal/state/config"
	api "github.com/auburncleat/auburncleat/internal/transport/oper"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/pkg/errors"
)

const (
	// callTimeout limits one call to one host.
	callTimeout = 25 * time.Second
	// retryInterval is the pause between two rounds over all hosts while the outcome is unknown.
	retryInterval = time.Second
)

// Messages of the operator API.
type (
	// Change is a set of items that are applied atomically.
	Change = api.ChangeRequest
	// Item creates, replaces or removes one resource.
	Item = api.ItemRequest
	// ChangeView is a change and whether it was accepted.
	ChangeView = api.ChangeView
	// Clear confirms that no claims of idempotency keys are missing in a failure domain.
	Clear = api.ClearRequest
	// ClearView is such a confirmation as recorded in the log.
	ClearView = api.ClearView
	// Failure is the reason of a refusal, the state that is in force instead, and the next step for the operator.
	Failure = api.Failure
	// Status is the configuration in force in each failure domain and on each host.
	Status = policy.Status
)

// Client calls the operator addresses of entry hosts, in the given order.
type Client struct {
	hosts   []netip.AddrPort
	keyFile string
	clock   clock.Clock
	rest    *rest.Client
}

// Option configures a Client.
type Option func(*Client)

// WithKeyFile sets the file with the operator's name and bearer key, which changes need.
func WithKeyFile(path string) Option {
	return func(c *Client) { c.keyFile = path }
}

// WithClock sets the clock.
func WithClock(k clock.Clock) Option {
	return func(c *Client) { c.clock = k }
}

// New returns a client for the operator addresses of the hosts.
func New(hosts []netip.AddrPort, opts ...Option) *Client {
	c := &Client{hosts: hosts, clock: clock.System()}
	for _, o := range opts {
		o(c)
	}
	c.rest = rest.New(rest.WithClock(c.clock), rest.WithTimeout(callTimeout))
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.rest.Close()
}

// get tries the hosts in turn until one replies or reports a failure.
func (c *Client) get(ctx context.Context, path string, out any) error {
	last := errors.New("no operator address is configured")
	for _, h := range c.hosts {
		r := rest.Request{Method: http.MethodGet, Addr: h, Path: path, Hedge: true}
		err := toFailure(c.rest.JSON(ctx, r, out))
		var f ErrFailed
		if err == nil || errors.As(err, &f) {
			return err
		}
		last = err
	}
	return fmt.Errorf("get %s: %w", path, last)
}

// FindProfiles returns the profiles in force and the planned changes.
func (c *Client) FindProfiles(ctx context.Context) (api.ProfilesView, error) {
	var v api.ProfilesView
	err := c.get(ctx, "/v1/profiles", &v)
	return v, err
}

// GetProfile returns one profile.
func (c *Client) GetProfile(ctx context.Context, name string) (config.Profile, error) {
	var p config.Profile
	err := c.get(ctx, "/v1/profiles/"+url.PathEscape(name), &p)
	return p, err
}

// FindHistory returns the changes of one profile, oldest first.
func (c *Client) FindHistory(ctx context.Context, name string) ([]ChangeView, error) {
	var v api.ChangesView
	err := c.get(ctx, "/v1/profiles/"+url.PathEscape(name)+"/history", &v)
	return v.Changes, err
}

// FindOrganisations returns the organisations in force.
func (c *Client) FindOrganisations(ctx context.Context) (api.OrganisationsView, error) {
	var v api.OrganisationsView
	err := c.get(ctx, "/v1/organisations", &v)
	return v, err
}

// FindStops returns the planned stops.
func (c *Client) FindStops(ctx context.Context) (api.StopsView, error) {
	var v api.StopsView
	err := c.get(ctx, "/v1/stops", &v)
	return v, err
}

// FindNotices returns the notices in force.
func (c *Client) FindNotices(ctx context.Context) (api.NoticesView, error) {
	var v api.NoticesView
	err := c.get(ctx, "/v1/notices", &v)
	return v, err
}

// GetStatus returns which configuration is in force in each failure domain and on each host.
func (c *Client) GetStatus(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, "/v1/config/status", &s)
	return s, err
}

// CreateChange returns the change once it is in force or planned, ErrFailed if it was refused, and ErrUnknown if the outcome is
// not known; q.ID makes a retry idempotent.
func (c *Client) CreateChange(ctx context.Context, q Change) (ChangeView, error) {
	var v ChangeView
	err := c.post(ctx, "/v1/config/changes", q.ID, q, &v)
	return v, err
}

// AckNotice confirms that the client of a notice was called; id makes a retry idempotent.
func (c *Client) AckNotice(ctx context.Context, id, notice, reason string) (config.Notice, error) {
	var n config.Notice
	q := api.AckRequest{ID: id, Reason: reason}
	err := c.post(ctx, "/v1/notices/"+url.PathEscape(notice)+"/ack", id, q, &n)
	return n, err
}

// ClearKeys confirms that no claims of idempotency keys are missing in a failure domain; q.ID makes a retry idempotent.
func (c *Client) ClearKeys(ctx context.Context, q Clear) (ClearView, error) {
	var v ClearView
	err := c.post(ctx, "/v1/keys/clear", q.ID, q, &v)
	return v, err
}

// post retries a change with the same id until its outcome is known or ctx is done.
func (c *Client) post(ctx context.Context, path, id string, body, out any) error {
	k, err := c.readKey()
	if err != nil {
		return err
	}
	h := http.Header{"Authorization": {"Bearer " + k}}
	isUnknown := false
	last := errors.New("no operator address is configured")
	for ctx.Err() == nil {
		for _, a := range c.hosts {
			err := toFailure(c.rest.JSON(ctx, rest.Request{Method: http.MethodPost, Addr: a, Path: path, Header: h, Body: body}, out))
			if err == nil || isFinal(err, isUnknown) {
				return err
			}
			last = err
			isUnknown = isUnknown || mayHaveEffect(err)
		}
		if !isUnknown {
			return fmt.Errorf("post %s: %w", path, last)
		}
		if err := c.clock.Sleep(ctx, retryInterval); err != nil {
			break
		}
	}
	return ErrUnknown{ID: id, Last: last}
}

// readKey returns the last word of the first line of the key file that is neither empty nor a comment.
func (c *Client) readKey() (string, error) {
	if c.keyFile == "" {
		return "", ErrNoKeyFile
	}
	b, err := os.ReadFile(c.keyFile)
	if err != nil {
		return "", fmt.Errorf("read key file: %w", err)
	}
	for l := range strings.Lines(string(b)) {
		fs := strings.Fields(l)
		if len(fs) > 0 && !strings.HasPrefix(fs[0], "#") && !strings.HasPrefix(fs[0], ";") {
			return fs[len(fs)-1], nil
		}
	}
	return "", fmt.Errorf("%s: %w", c.keyFile, ErrNoKeyFile)
}
