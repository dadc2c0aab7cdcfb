package setup

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"gopkg.in/ini.v1"
)

// section reads typed keys of one section and collects their faults.
type section struct {
	name      string
	ini       *ini.Section
	knownKeys []string
	faults    []Fault
}

func (s *section) addFault(key, format string, args ...any) {
	s.faults = append(s.faults, Fault{Section: s.name, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (s *section) value(key string) (string, bool) {
	s.knownKeys = append(s.knownKeys, key)
	if !s.ini.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.ini.Key(key).Value()), true
}

// checkUnknownKeys adds a fault for every key that is not a setting of the section.
func (s *section) checkUnknownKeys() {
	for _, k := range s.ini.KeyStrings() {
		if !slices.Contains(s.knownKeys, k) {
			s.addFault(k, "is not a setting of this section; valid settings are %s", strings.Join(s.knownKeys, ", "))
		}
	}
}

// checkRepeatedKeys adds a fault for every key that is set more than once.
func (s *section) checkRepeatedKeys() {
	for _, k := range s.ini.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			s.addFault(k.Name(), "is set more than once")
		}
	}
}

// optional returns the value of an optional key.
func (s *section) optional(key, fallback string) string {
	v, ok := s.value(key)
	if !ok {
		return fallback
	}
	return v
}

// required returns the value of a required key, and adds a fault if it is missing or empty.
func (s *section) required(key string) string {
	v, _ := s.value(key)
	if v == "" {
		s.addFault(key, "is missing")
	}
	return v
}

func (s *section) list(key string) []string {
	v, _ := s.value(key)
	var out []string
	for _, x := range strings.Split(v, ",") {
		if x = strings.TrimSpace(x); x != "" {
			out = append(out, x)
		}
	}
	return out
}

func (s *section) oneOf(key, fallback string, allowed ...string) string {
	v := s.optional(key, fallback)
	if !slices.Contains(allowed, v) {
		s.addFault(key, "%q is not one of %s", v, strings.Join(allowed, ", "))
	}
	return v
}

func (s *section) addr(key string) netip.AddrPort {
	v := s.required(key)
	if v == "" {
		return netip.AddrPort{}
	}
	a, err := parseAddr(v)
	if err != nil {
		s.addFault(key, "%v", err)
	}
	return a
}

func parseAddr(v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%q is not an IP address with a port", v)
	}
	if fleet.CheckAddr(a) != nil {
		return netip.AddrPort{}, fmt.Errorf("%q is not a specific address and port", v)
	}
	return a, nil
}

func (s *section) duration(key string, fallback, low, high time.Duration) time.Duration {
	v, ok := s.value(key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.addFault(key, "%q is not a duration such as %s", v, fallback)
		return fallback
	}
	if d < low || d > high {
		s.addFault(key, "%s is not between %s and %s", d, low, high)
	}
	return d
}

func (s *section) count(key string, fallback, low, high int) int {
	return parseInRange(s, key, fallback, low, high, parseCount)
}

func (s *section) bytes(key string, fallback, low, high fleet.Bytes) fleet.Bytes {
	return parseInRange(s, key, fallback, low, high, config.ParseMemory)
}

func parseInRange[T int | fleet.Bytes](s *section, key string, fallback, low, high T, parse func(string) (T, error)) T {
	v, ok := s.value(key)
	if !ok {
		return fallback
	}
	x, err := parse(v)
	if err != nil {
		s.addFault(key, "%v", err)
		return fallback
	}
	if x < low || x > high {
		s.addFault(key, "%s is not between %d and %d", v, low, high)
	}
	return x
}

func parseCount(v string) (int, error) {
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", v)
	}
	return n, nil
}

func (s *section) fraction(key string, fallback float64) float64 {
	v, ok := s.value(key)
	if !ok {
		return fallback
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= 0 && x <= 1) {
		s.addFault(key, "%q is not a number between 0 and 1", v)
		return fallback
	}
	return x
}
