package route

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const idHashBytes = 12

// ErrJobIDInvalid says that an id names no configured failure domain.
var ErrJobIDInvalid = errors.New("job id is invalid")

// Kinds of job ids; the letter distinguishes ids derived from keys from those derived from requests.
const (
	kindKey     = "k"
	kindRequest = "r"
)

// KeyID returns the id of the job with an idempotency key; every host derives the same one.
func KeyID(domain, org, key string) string {
	return jobID(domain, kindKey, org, key)
}

// RequestID returns the id of the job of a request without an idempotency key, derived from the request's own id; an empty
// one gives a new job id each time.
func RequestID(domain, org, request string) string {
	if request == "" {
		request = rand.Text()
	}
	return jobID(domain, kindRequest, org, request)
}

func jobID(domain, kind, org, name string) string {
	h := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(org), org, name))
	return domain + "." + kind + hex.EncodeToString(h[:idHashBytes])
}

// domainOf returns the failure domain contained in a job id.
func domainOf(id string, domains []string) (string, error) {
	i := strings.LastIndexByte(id, '.')
	if i < 0 || !slices.Contains(domains, id[:i]) {
		return "", fmt.Errorf("job %q: %w", id, ErrJobIDInvalid)
	}
	return id[:i], nil
}
