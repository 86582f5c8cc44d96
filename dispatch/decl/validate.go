// Package decl parses, validates, compares and formats the declared configuration.
package decl

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// Limits of the declared values.
const (
	MaxName      = 64
	MaxPriority  = 9
	MaxSlots     = 64
	MaxTimeLimit = 60 * time.Second
	// MaxQuotaSlots exceeds the slots of the largest fleet (880 workers with 64 slots each).
	MaxQuotaSlots = 100_000
	// MaxResponseTime is the longest timeout that a caller can set.
	MaxResponseTime = 60 * time.Second
)

// FieldError reports a value that is not allowed.
type FieldError struct {
	// File is the declaration file, if the value came from one. Indices in Path then count within
	// it.
	File string
	// Path names the field, for example services[0].kinds[1].slots.
	Path string
	// Value is the value found, and Allowed describes the allowed values.
	Value   string
	Allowed string
}

// Error implements the error interface.
func (e *FieldError) Error() string {
	text := fmt.Sprintf("%s: %s is not allowed; allowed: %s", e.Path, e.Value, e.Allowed)
	if e.File != "" {
		return e.File + ": " + text
	}
	return text
}

// Validate checks a whole configuration. It returns a *FieldError for the first value that is not
// allowed.
func Validate(c *poplargwv1.Config) error {
	if c == nil {
		return &FieldError{Path: "config", Value: "nothing", Allowed: "a configuration"}
	}
	v := &validator{}
	for i, s := range v.names("services", len(c.GetServices()), func(i int) string { return c.GetServices()[i].GetName() }) {
		v.service(s, c.GetServices()[i])
	}
	for i, t := range v.names("teams", len(c.GetTeams()), func(i int) string { return c.GetTeams()[i].GetName() }) {
		v.number(t+".quota_slots", c.GetTeams()[i].GetQuotaSlots(), 0, MaxQuotaSlots)
	}
	for i, d := range v.names("domains", len(c.GetDomains()), func(i int) string { return c.GetDomains()[i].GetName() }) {
		v.name(d+".region", c.GetDomains()[i].GetRegion())
	}
	v.names("servers", len(c.GetServers()), func(i int) string { return c.GetServers()[i].GetServer() })
	return v.err
}

// ValidName reports whether the name consists of 1 to MaxName characters of [a-z0-9.-].
func ValidName(name string) bool {
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '.' && r != '-' {
			return false
		}
	}
	return name != "" && len(name) <= MaxName
}

// validator records the first error.
type validator struct{ err error }

// fail records a *FieldError unless there is an earlier one.
func (v *validator) fail(path, value, allowed string) {
	if v.err == nil {
		v.err = &FieldError{Path: path, Value: value, Allowed: allowed}
	}
}

// names checks the names of a list, which must be unique, and returns the path of each element.
func (v *validator) names(list string, n int, name func(int) string) []string {
	paths := make([]string, n)
	seen := make(map[string]bool, n)
	for i := range n {
		paths[i] = fmt.Sprintf("%s[%d]", list, i)
		v.name(paths[i]+".name", name(i))
		if seen[name(i)] {
			v.fail(paths[i]+".name", fmt.Sprintf("%q", name(i)), "a name that occurs once in "+list[strings.LastIndex(list, ".")+1:])
		}
		seen[name(i)] = true
	}
	return paths
}

func (v *validator) name(path, name string) {
	if !ValidName(name) {
		v.fail(path, fmt.Sprintf("%q", name), fmt.Sprintf("1 to %d characters of [a-z0-9.-]", MaxName))
	}
}

func (v *validator) service(path string, s *poplargwv1.Service) {
	kinds := s.GetKinds()
	if len(kinds) == 0 {
		v.fail(path+".kinds", "an empty list", "at least one kind")
	}
	for i, k := range v.names(path+".kinds", len(kinds), func(i int) string { return kinds[i].GetName() }) {
		v.kind(k, kinds[i])
	}
}

func (v *validator) kind(path string, k *poplargwv1.Kind) {
	v.number(path+".priority", k.GetPriority(), 0, MaxPriority)
	v.number(path+".slots", k.GetSlots(), 1, MaxSlots)
	v.duration(path+".time_limit", k.GetTimeLimit(), MaxTimeLimit)
	if k.Objective == nil {
		return
	}
	v.duration(path+".objective.response_time", k.GetObjective().GetResponseTime(), MaxResponseTime)
	// The negated condition also rejects NaN.
	if t := k.GetObjective().GetTarget(); !(t > 0 && t < 1) {
		v.fail(path+".objective.target", fmt.Sprint(t), "greater than 0 and less than 1")
	}
}

// number checks that the value is in the range from low to high.
func (v *validator) number(path string, value, low, high uint32) {
	if value < low || value > high {
		v.fail(path, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
	}
}

// duration checks that the duration is in the range from 1 ms to limit.
func (v *validator) duration(path string, d *durationpb.Duration, limit time.Duration) {
	if d.CheckValid() != nil || d.AsDuration() < time.Millisecond || d.AsDuration() > limit {
		v.fail(path, d.AsDuration().String(), fmt.Sprintf("1ms to %v", limit))
	}
}
