package port

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// ErrUnsent says that a call failed before its request was sent, so that it had no effect.
var ErrUnsent = errors.New("request was not sent")

// Peers is the client of the other hosts.
type Peers struct {
	// Call calls a method of a peer, such as "Peer.Heartbeat"; after an error other than ErrUnsent it may have been executed.
	Call func(ctx context.Context, to netip.AddrPort, method string, request, reply proto.Message) error
}
