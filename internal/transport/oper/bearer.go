package oper

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// minKeyBytes is the minimum length of a bearer key.
	minKeyBytes = 16
	// maxKeyFileBytes is the maximum size of the key file.
	maxKeyFileBytes = 64 << 10
	// groupAndOtherPerm are the permissions of the group and of others, none of which a key file may grant.
	groupAndOtherPerm fs.FileMode = 0o077
)

// Errors of the bearer keys.
var (
	// ErrKeyMissing is returned for a change request without a bearer key.
	ErrKeyMissing = errors.New("the request carries no bearer key")
	// ErrKeyUnknown is returned for a bearer key that belongs to no operator.
	ErrKeyUnknown = errors.New("the bearer key belongs to no configured operator")
	// ErrKeyFile is returned while the key file is missing or invalid; every change is then rejected.
	ErrKeyFile = errors.New("the key file cannot be used")
)

type key struct {
	operator string
	digest   [sha256.Size]byte
}

// Keys holds the operators' bearer keys and reloads their file when its size or modification time changes.
type Keys struct {
	path    string
	mu      sync.Mutex
	modTime time.Time
	size    int64
	keys    []key
}

// NewKeys returns the keys of a file with an operator name and a key on each line. With an empty path every key is rejected.
func NewKeys(path string) *Keys {
	return &Keys{path: path}
}

// GetOperator returns the operator to whom a bearer key belongs.
func (k *Keys) GetOperator(bearer string) (string, error) {
	if bearer == "" {
		return "", ErrKeyMissing
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.reload(); err != nil {
		k.keys = nil
		k.modTime = time.Time{}
		return "", fmt.Errorf("%w: %w", ErrKeyFile, err)
	}
	d := sha256.Sum256([]byte(bearer))
	operator := ""
	// Every key is compared in constant time, so that the response time reveals nothing about the keys.
	for _, c := range k.keys {
		if subtle.ConstantTimeCompare(d[:], c.digest[:]) == 1 {
			operator = c.operator
		}
	}
	if operator == "" {
		return "", ErrKeyUnknown
	}
	return operator, nil
}

func (k *Keys) reload() error {
	if k.path == "" {
		return errors.New("no KeyFile is set in [Operators]")
	}
	i, err := os.Stat(k.path)
	if err != nil {
		return fmt.Errorf("stat key file: %w", err)
	}
	if i.Mode().Perm()&groupAndOtherPerm != 0 {
		return fmt.Errorf("permissions of %s are %04o, and must be 0600 or stricter", k.path, i.Mode().Perm())
	}
	if i.ModTime().Equal(k.modTime) && i.Size() == k.size && !k.modTime.IsZero() {
		return nil
	}
	if i.Size() > maxKeyFileBytes {
		return fmt.Errorf("key file of %d bytes is larger than %d", i.Size(), maxKeyFileBytes)
	}
	b, err := os.ReadFile(k.path)
	if err != nil {
		return fmt.Errorf("read key file: %w", err)
	}
	ks, err := parseKeys(b)
	if err != nil {
		return err
	}
	k.keys, k.modTime, k.size = ks, i.ModTime(), i.Size()
	return nil
}

// parseKeys reads an operator name and a key from each line; empty lines and lines that start with # or ; are skipped.
func parseKeys(b []byte) ([]key, error) {
	var ks []key
	s := bufio.NewScanner(bytes.NewReader(b))
	for n := 1; s.Scan(); n++ {
		l := strings.TrimSpace(s.Text())
		if l == "" || l[0] == '#' || l[0] == ';' {
			continue
		}
		fs := strings.Fields(l)
		if len(fs) != 2 {
			return nil, fmt.Errorf("line %d of the key file is not a name and a key", n)
		}
		if len(fs[1]) < minKeyBytes {
			return nil, fmt.Errorf("key in line %d of the key file is shorter than %d bytes", n, minKeyBytes)
		}
		ks = append(ks, key{operator: fs[0], digest: sha256.Sum256([]byte(fs[1]))})
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read key file: %w", err)
	}
	return ks, nil
}
