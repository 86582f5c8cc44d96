package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// checker reads the values of a settings file and collects the problems. Each method for a kind of value
// adds a problem if the value is wrong.
type checker struct {
	file string
	// values holds the values that have not been read yet, by full key such as limits.token_age.
	values   map[string]any
	problems Problems
}

func (c *checker) addProblem(code Code, key, value, allowed string) {
	c.problems = append(c.problems, Problem{Code: code, File: c.file, Key: key, Value: value, Allowed: allowed})
}

// reportUnknown adds a problem for each value that no field has read.
func (c *checker) reportUnknown() {
	for _, key := range slices.Sorted(maps.Keys(c.values)) {
		c.addProblem(UnknownKey, key, formatValue(c.values[key]), "the keys in docs/settings.md")
	}
}

// take returns the value of key and removes it from c.values. It returns false if the key is absent.
func (c *checker) take(key string) (any, bool) {
	v, ok := c.values[key]
	delete(c.values, key)
	return v, ok
}

// optionalString sets *dst if the key is present and its value is a string. It tells whether it did, so that
// the caller can check the value. allowed describes the allowed values in problems.
func (c *checker) optionalString(key string, dst *string, allowed string) bool {
	v, ok := c.take(key)
	if !ok {
		return false
	}
	s, ok := v.(string)
	if !ok {
		c.addProblem(WrongType, key, formatValue(v), "a string: "+allowed)
		return false
	}
	*dst = s
	return true
}

// requiredString is optionalString for a key that must be present.
func (c *checker) requiredString(key string, dst *string, allowed string) bool {
	if _, ok := c.values[key]; !ok {
		c.addProblem(Missing, key, "", allowed)
		return false
	}
	return c.optionalString(key, dst, allowed)
}

// requiredName reads a required identifier of letters, digits, '.', '_' and '-'.
func (c *checker) requiredName(key string, dst *string) {
	const allowed = "1 to 64 letters, digits, '.', '_' and '-'"
	if c.requiredString(key, dst, allowed) && !validName(*dst) {
		c.addProblem(OutOfRange, key, formatValue(*dst), allowed)
	}
}

// maxNameBytes bounds the length of an identifier.
const maxNameBytes = 64

func validName(s string) bool {
	if len(s) == 0 || len(s) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("._-", r)
	}) < 0
}

// optionalChoice reads an optional string that must be one of list.
func (c *checker) optionalChoice(key string, dst *string, list ...string) {
	allowed := strings.Join(list, ", ")
	if c.optionalString(key, dst, allowed) && !slices.Contains(list, *dst) {
		c.addProblem(NotAllowed, key, formatValue(*dst), allowed)
	}
}

const allowedAddress = "an IP address and a port from 1 to 65535, as in 127.0.0.1:7000 or [::1]:7000"

// requiredAddress reads a required IP:port.
func (c *checker) requiredAddress(key string, dst *string) {
	if c.requiredString(key, dst, allowedAddress) && !validAddress(*dst) {
		c.addProblem(BadAddress, key, formatValue(*dst), allowedAddress)
	}
}

// optionalAddress reads an IP:port that may be absent.
func (c *checker) optionalAddress(key string, dst *string) {
	if _, ok := c.values[key]; ok {
		c.requiredAddress(key, dst)
	}
}

// validAddress tells whether s is an IP address without a zone and a port other than 0.
func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == ""
}

// requiredLoopback reads a required IP:port on the loopback interface.
func (c *checker) requiredLoopback(key string, dst *string) {
	const allowed = "a loopback IP address and a port from 1 to 65535, as in 127.0.0.1:7000"
	if !c.requiredString(key, dst, allowed) {
		return
	}
	a, err := netip.ParseAddrPort(*dst)
	if err != nil || a.Port() == 0 || !a.Addr().IsLoopback() {
		c.addProblem(BadAddress, key, formatValue(*dst), allowed)
	}
}

// requiredAddresses reads a required list of 1 to maxEntries different IP:port values.
func (c *checker) requiredAddresses(key string, dst *[]string) {
	allowed := fmt.Sprintf("a list of 1 to %d different addresses, each %s", maxEntries, allowedAddress)
	v, ok := c.take(key)
	if !ok {
		c.addProblem(Missing, key, "", allowed)
		return
	}
	list, ok := v.([]any)
	if !ok {
		c.addProblem(WrongType, key, formatValue(v), allowed)
		return
	}
	if len(list) == 0 || len(list) > maxEntries {
		c.addProblem(OutOfRange, key, fmt.Sprintf("a list of %d", len(list)), allowed)
	}
	for i, item := range list {
		c.addListItem(fmt.Sprintf("%s[%d]", key, i), item, dst)
	}
}

// addListItem appends an item to *dst if it is a valid address that is not in *dst yet.
func (c *checker) addListItem(key string, item any, dst *[]string) {
	s, ok := item.(string)
	switch {
	case !ok:
		c.addProblem(WrongType, key, formatValue(item), allowedAddress)
	case !validAddress(s):
		c.addProblem(BadAddress, key, formatValue(s), allowedAddress)
	case slices.Contains(*dst, s):
		c.addProblem(Conflicting, key, formatValue(s), "an address that is not in the list yet")
	default:
		*dst = append(*dst, s)
	}
}

// optionalDuration reads an optional duration from low to high, written as a string such as "2s". A wrong value
// leaves *dst, which holds the default, unchanged.
func (c *checker) optionalDuration(key string, dst *time.Duration, low, high time.Duration) {
	allowed := fmt.Sprintf("a duration from %v to %v, as in %q", low, high, dst.String())
	var s string
	if !c.optionalString(key, &s, allowed) {
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		c.addProblem(WrongType, key, formatValue(s), allowed)
		return
	}
	if d < low || d > high {
		c.addProblem(OutOfRange, key, formatValue(s), allowed)
		return
	}
	*dst = d
}

// optionalInteger reads an optional integer from low to high. A wrong value leaves *dst, which holds the default,
// unchanged.
func (c *checker) optionalInteger(key string, dst *int64, low, high int64) {
	v, ok := c.take(key)
	if !ok {
		return
	}
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	n, ok := v.(int64)
	if !ok {
		c.addProblem(WrongType, key, formatValue(v), allowed)
		return
	}
	if n < low || n > high {
		c.addProblem(OutOfRange, key, formatValue(v), allowed)
		return
	}
	*dst = n
}

// maxValueBytes bounds the length of a value in a problem.
const maxValueBytes = 100

// formatValue formats a value for a problem: strings are quoted, long values are cut.
func formatValue(v any) string {
	s := fmt.Sprintf("%v", v)
	if t, ok := v.(string); ok {
		s = fmt.Sprintf("%q", t)
	}
	if len(s) > maxValueBytes {
		s = s[:maxValueBytes] + "..."
	}
	return s
}
