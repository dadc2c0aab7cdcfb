package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
)

// Difference is a key in which two versions of a resource differ; Old or New is empty where the key is absent.
type Difference struct {
	Key string
	Old string
	New string
}

// Diff compares two resources in JSON key by key, except for Version; nil means that the resource does not exist.
func Diff(before, after []byte) ([]Difference, error) {
	o, err := flatten(before)
	if err != nil {
		return nil, fmt.Errorf("decode old resource: %w", err)
	}
	n, err := flatten(after)
	if err != nil {
		return nil, fmt.Errorf("decode new resource: %w", err)
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

// flatten maps paths such as "Guarantees.1.Gangs" to values as text; list elements are numbered from 1.
func flatten(b []byte) (map[string]string, error) {
	out := map[string]string{}
	if len(b) == 0 {
		return out, nil
	}
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, err
	}
	flattenValue("", v, out)
	return out, nil
}

func flattenValue(path string, v any, out map[string]string) {
	join := func(k string) string {
		if path == "" {
			return k
		}
		return path + "." + k
	}
	switch x := v.(type) {
	case map[string]any:
		for k, e := range x {
			flattenValue(join(k), e, out)
		}
	case []any:
		for i, e := range x {
			flattenValue(join(fmt.Sprint(i+1)), e, out)
		}
	default:
		out[path] = fmt.Sprint(x)
	}
}

// Resource returns a resource in force as JSON, or nil when it does not exist.
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
		return nil, fmt.Errorf("encode %s %s: %w", k, name, err)
	}
	return b, nil
}
