package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
)

// Difference is one key in which two versions of a resource differ; an empty side lacks the key.
type Difference struct {
	Key string
	Old string
	New string
}

// Diff compares two resources given as JSON, key by key; nil stands for a resource that does not exist.
func Diff(before, after []byte) ([]Difference, error) {
	o, err := flatten(before)
	if err != nil {
		return nil, fmt.Errorf("read old resource: %w", err)
	}
	n, err := flatten(after)
	if err != nil {
		return nil, fmt.Errorf("read new resource: %w", err)
	}
	keys := map[string]bool{}
	for k := range o {
		keys[k] = true
	}
	for k := range n {
		keys[k] = true
	}
	var out []Difference
	for k := range keys {
		if k != "Version" && !reflect.DeepEqual(o[k], n[k]) {
			out = append(out, Difference{Key: k, Old: o[k], New: n[k]})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

// flatten maps paths such as "Guarantees.0.Gangs" to values as text.
func flatten(b []byte) (map[string]string, error) {
	out := map[string]string{}
	if len(b) == 0 {
		return out, nil
	}
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, err
	}
	walk("", v, out)
	return out, nil
}

func walk(path string, v any, out map[string]string) {
	join := func(k string) string {
		if path == "" {
			return k
		}
		return path + "." + k
	}
	switch x := v.(type) {
	case map[string]any:
		for k, e := range x {
			walk(join(k), e, out)
		}
	case []any:
		for i, e := range x {
			walk(join(fmt.Sprint(i+1)), e, out)
		}
	default:
		out[path] = fmt.Sprint(x)
	}
}

// Resource returns a resource in force as JSON, or nil when there is none.
func (c Config) Resource(k Kind, name string) ([]byte, error) {
	if c.Version(k, name) == 0 {
		return nil, nil
	}
	var v any
	switch k {
	case KindProfile:
		v = c.Profiles[name]
	case KindOrganisation:
		v = c.Organisations[name]
	case KindStop:
		v = c.Stops[name]
	default:
		v = c.Planned[name]
	}
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("render %s %s: %w", k, name, err)
	}
	return b, nil
}
