package dedup

import "github.com/cespare/xxhash/v2"

// Home returns the failure domain that holds the claims of a key, by rendezvous hashing over the configured domains.
//
// It does not depend on which failure domains are live; it is empty if none is configured.
func Home(organisation, key string, domains []string) string {
	var best string
	var most uint64
	for _, d := range domains {
		n := score(organisation, key, d)
		if best == "" || n > most || (n == most && d < best) {
			best = d
			most = n
		}
	}
	return best
}

func score(organisation, key, domain string) uint64 {
	h := xxhash.New()
	for _, s := range []string{organisation, key, domain} {
		// The separator keeps different parts from hashing as the same text.
		_, _ = h.WriteString(s + "\x00")
	}
	return h.Sum64()
}
