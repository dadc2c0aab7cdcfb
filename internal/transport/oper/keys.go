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
	// minKey is the least length of a bearer key, in bytes.
	minKey = 16
	// maxKeyFile bounds the key file, in bytes.
	maxKeyFile = 64 << 10
	// openToOthers are the permissions that a key file must not grant.
	openToOthers fs.FileMode = 0o077
)

// Errors of the bearer keys.
var (
	// ErrKeyMissing says that a change came without a bearer key.
	ErrKeyMissing = errors.New("the request carries no bearer key")
	// ErrKeyWrong says that no operator has the bearer key.
	ErrKeyWrong = errors.New("no operator has this bearer key")
	// ErrKeyFile says that the key file cannot be used, so that nobody may change anything.
	ErrKeyFile = errors.New("the key file cannot be used")
)

type key struct {
	operator string
	digest   [sha256.Size]byte
}

// Keys holds the operators' bearer keys, and reads their file again when it changes.
type Keys struct {
	path string
	mu   sync.Mutex
	mod  time.Time
	size int64
	keys []key
}

// NewKeys returns the keys of a file with a name and a key on each line; an empty path allows nobody.
func NewKeys(path string) *Keys {
	return &Keys{path: path}
}

// Find returns the operator to whom a bearer key belongs.
func (k *Keys) Find(bearer string) (string, error) {
	if bearer == "" {
		return "", ErrKeyMissing
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.refresh(); err != nil {
		k.keys = nil
		k.mod = time.Time{}
		return "", fmt.Errorf("%w: %w", ErrKeyFile, err)
	}
	d := sha256.Sum256([]byte(bearer))
	operator := ""
	// All keys are compared, so that the time does not tell which one came near.
	for _, c := range k.keys {
		if subtle.ConstantTimeCompare(d[:], c.digest[:]) == 1 {
			operator = c.operator
		}
	}
	if operator == "" {
		return "", ErrKeyWrong
	}
	return operator, nil
}

func (k *Keys) refresh() error {
	if k.path == "" {
		return errors.New("no KeyFile is set in [Operators]")
	}
	i, err := os.Stat(k.path)
	if err != nil {
		return fmt.Errorf("look at key file: %w", err)
	}
	if i.Mode().Perm()&openToOthers != 0 {
		return fmt.Errorf("permissions of %s are %04o, and must be 0600 or stricter", k.path, i.Mode().Perm())
	}
	if i.ModTime().Equal(k.mod) && i.Size() == k.size && !k.mod.IsZero() {
		return nil
	}
	if i.Size() > maxKeyFile {
		return fmt.Errorf("key file of %d bytes is larger than %d", i.Size(), maxKeyFile)
	}
	b, err := os.ReadFile(k.path)
	if err != nil {
		return fmt.Errorf("read key file: %w", err)
	}
	ks, err := parseKeys(b)
	if err != nil {
		return err
	}
	k.keys, k.mod, k.size = ks, i.ModTime(), i.Size()
	return nil
}

// parseKeys reads a name and a key from each line; empty lines and lines that start with # or ; are passed over.
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
		if len(fs[1]) < minKey {
			return nil, fmt.Errorf("key in line %d of the key file is shorter than %d bytes", n, minKey)
		}
		ks = append(ks, key{operator: fs[0], digest: sha256.Sum256([]byte(fs[1]))})
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read key file: %w", err)
	}
	return ks, nil
}
