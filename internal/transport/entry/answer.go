package entry

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// answerChunkBytes is the size of the part of an answer that one call to the owner fetches.
const answerChunkBytes = 256 << 10

// AnswerDigest is the name of the response header that holds the xxhash64 of the whole answer in hexadecimal.
const AnswerDigest = "Answer-Digest"

// getAnswer streams the answer in chunks, so that a slow caller never makes the host buffer a whole answer.
func (s *Server) getAnswer(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	ctx, cancel := s.withTimeout(r.Context(), maxWait)
	defer cancel()
	q := &wire.AwaitRequest{Job: id, Limit: answerChunkBytes}
	reply, err := s.router.Await(ctx, q)
	if err != nil {
		s.writeQueryError(w, err)
		return
	}
	o := reply.GetOutcome()
	if o.GetKind() != string(fleet.Done) {
		s.writeQueryError(w, ErrNoAnswer{Job: id, Kind: o.GetKind()})
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
			// The body stays shorter than Content-Length, by which the caller detects the truncation.
			return
		}
	}
}
