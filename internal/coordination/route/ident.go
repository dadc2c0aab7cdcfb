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

const identBytes = 12

// ErrJobIDInvalid says that an id names no configured failure domain.
var ErrJobIDInvalid = errors.New("job id is invalid")

// kinds of job id; the letter keeps ids made from keys and from requests apart.
const (
	identKey     = "k"
	identRequest = "r"
)

// KeyID returns the id of the work with an idempotency key; each host derives the same one.
func KeyID(domain, org, key string) string {
	return ident(domain, identKey, org, key)
}

// RequestID returns the id of a request that names itself; an empty name gives a new id each time.
func RequestID(domain, org, request string) string {
	if request == "" {
		request = rand.Text()
	}
	return ident(domain, identRequest, org, request)
}

func ident(domain, kind, org, name string) string {
	h := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(org), org, name))
	return domain + "." + kind + hex.EncodeToString(h[:identBytes])
}

// domainOf returns the failure domain that a job id names.
func domainOf(id string, domains []string) (string, error) {
	i := strings.LastIndexByte(id, '.')
	if i < 0 || !slices.Contains(domains, id[:i]) {
		return "", fmt.Errorf("job %q: %w", id, ErrJobIDInvalid)
	}
	return id[:i], nil
}
