package route

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// query calls the owner of a failure domain once, without retries; it serves reads for which a partial result is better than
// a late one.
func (r *Router) query(ctx context.Context, domain, method string, q, reply proto.Message) error {
	a, ok := r.owner(domain)
	if !ok {
		return ErrNoOwner
	}
	return r.callOnce(ctx, a, method, q, reply)
}
