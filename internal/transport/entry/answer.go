package entry

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// answerChunk is the part of an answer that travels in one call, in bytes.
const answerChunk = 256 << 10

// AnswerDigest is the header with the xxhash64 of the whole answer in hexadecimal.
const AnswerDigest = "Answer-Digest"

// getAnswer streams the answer in parts, so that a host never holds a whole one for a slow caller.
func (s *Server) getAnswer(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	ctx, cancel := s.bound(r.Context(), maxWait)
	defer cancel()
	q := &wire.AwaitRequest{Job: id, Limit: answerChunk}
	reply, err := s.router.Await(ctx, q)
	if err != nil {
		s.failRead(w, err)
		return
	}
	o := reply.GetOutcome()
	if o.GetKind() != string(fleet.Done) {
		s.failRead(w, ErrNoAnswer{Job: id, Kind: o.GetKind()})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(o.GetAnswerBytes(), 10))
	w.Header().Set(AnswerDigest, fmt.Sprintf("%016x", o.GetAnswerDigest()))
	for {
		b := reply.GetOutcome().GetAnswer()
		q.Offset += int64(len(b))
		if _, err := w.Write(b); err != nil || q.Offset >= o.GetAnswerBytes() || len(b) == 0 {
			return
		}
		reply, err = s.router.Await(ctx, q)
		if err != nil || reply.GetOutcome().GetAnswerDigest() != o.GetAnswerDigest() {
			// The missing bytes tell the caller that the answer is not whole.
			return
		}
	}
}
