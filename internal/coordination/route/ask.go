package route

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// ask makes one try, for reads that are better partial than late.
func (r *Router) ask(ctx context.Context, domain, method string, q, reply proto.Message) error {
	a, ok := r.owner(domain)
	if !ok {
		return ErrNoOwner
	}
	return r.try(ctx, a, method, q, reply)
}
