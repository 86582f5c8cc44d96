package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// checker takes values out of a settings file and collects what is wrong with them.
type checker struct {
	file string
	// values holds the values that no field has taken yet, by full key.
	values   map[string]any
	problems Problems
}

func (c *checker) add(code Code, key, value, allowed string) {
	c.problems = append(c.problems, Problem{Code: code, File: c.file, Key: key, Value: value, Allowed: allowed})
}

func (c *checker) reportUnknown() {
	for _, key := range slices.Sorted(maps.Keys(c.values)) {
		c.add(UnknownKey, key, show(c.values[key]), "the keys in docs/settings.md")
	}
}

// take returns the value of key and marks it as known.
func (c *checker) take(key string) (any, bool) {
	v, ok := c.values[key]
	delete(c.values, key)
	return v, ok
}

// text sets *to when the key is present. It returns whether *to then holds a value to check.
func (c *checker) text(key string, to *string, allowed string) bool {
	v, ok := c.take(key)
	if !ok {
		return false
	}
	s, ok := v.(string)
	if !ok {
		c.add(WrongType, key, show(v), "a string: "+allowed)
		return false
	}
	*to = s
	return true
}

func (c *checker) required(key string, to *string, allowed string) bool {
	if _, ok := c.values[key]; !ok {
		c.add(Missing, key, "", allowed)
		return false
	}
	return c.text(key, to, allowed)
}

// name is a required identifier.
func (c *checker) name(key string, to *string) {
	const allowed = "1 to 64 letters, digits, '.', '_' and '-'"
	if c.required(key, to, allowed) && !validName(*to) {
		c.add(OutOfRange, key, show(*to), allowed)
	}
}

const maxNameLength = 64

func validName(s string) bool {
	if len(s) == 0 || len(s) > maxNameLength {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("._-", r)
	}) < 0
}

// oneOf is an optional value from a list.
func (c *checker) oneOf(key string, to *string, list ...string) {
	allowed := strings.Join(list, ", ")
	if c.text(key, to, allowed) && !slices.Contains(list, *to) {
		c.add(NotAllowed, key, show(*to), allowed)
	}
}

const allowedAddress = "an IP address and a port from 1 to 65535, as in 127.0.0.1:7000 or [::1]:7000"

// address is a required IP:port.
func (c *checker) address(key string, to *string) {
	if c.required(key, to, allowedAddress) && !validAddress(*to) {
		c.add(BadAddress, key, show(*to), allowedAddress)
	}
}

// optionalAddress is an IP:port that may be absent.
func (c *checker) optionalAddress(key string, to *string) {
	if _, ok := c.values[key]; ok {
		c.address(key, to)
	}
}

func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == ""
}

// loopback is a required IP:port on the loopback interface.
func (c *checker) loopback(key string, to *string) {
	const allowed = "a loopback IP address and a port from 1 to 65535, as in 127.0.0.1:7000"
	if !c.required(key, to, allowed) {
		return
	}
	a, err := netip.ParseAddrPort(*to)
	if err != nil || a.Port() == 0 || !a.Addr().IsLoopback() {
		c.add(BadAddress, key, show(*to), allowed)
	}
}

// addresses is a required, non-empty list of different IP:port values.
func (c *checker) addresses(key string, to *[]string) {
	allowed := fmt.Sprintf("a list of 1 to %d different addresses, each %s", maxEntries, allowedAddress)
	v, ok := c.take(key)
	if !ok {
		c.add(Missing, key, "", allowed)
		return
	}
	list, ok := v.([]any)
	if !ok {
		c.add(WrongType, key, show(v), allowed)
		return
	}
	if len(list) == 0 || len(list) > maxEntries {
		c.add(OutOfRange, key, fmt.Sprintf("a list of %d", len(list)), allowed)
	}
	for i, item := range list {
		c.listAddress(fmt.Sprintf("%s[%d]", key, i), item, to)
	}
}

func (c *checker) listAddress(key string, item any, to *[]string) {
	s, ok := item.(string)
	switch {
	case !ok:
		c.add(WrongType, key, show(item), allowedAddress)
	case !validAddress(s):
		c.add(BadAddress, key, show(s), allowedAddress)
	case slices.Contains(*to, s):
		c.add(Conflicting, key, show(s), "an address that is not in the list yet")
	default:
		*to = append(*to, s)
	}
}

// duration is an optional duration from low to high, written as a string such as "2s".
func (c *checker) duration(key string, to *time.Duration, low, high time.Duration) {
	allowed := fmt.Sprintf("a duration from %v to %v, as in %q", low, high, to.String())
	var s string
	if !c.text(key, &s, allowed) {
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		c.add(WrongType, key, show(s), allowed)
		return
	}
	if d < low || d > high {
		c.add(OutOfRange, key, show(s), allowed)
		return
	}
	*to = d
}

// integer is an optional whole number from low to high.
func (c *checker) integer(key string, to *int64, low, high int64) {
	v, ok := c.take(key)
	if !ok {
		return
	}
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	n, ok := v.(int64)
	if !ok {
		c.add(WrongType, key, show(v), allowed)
		return
	}
	if n < low || n > high {
		c.add(OutOfRange, key, show(v), allowed)
		return
	}
	*to = n
}

// maxShown bounds a value in a message.
const maxShown = 100

func show(v any) string {
	s := fmt.Sprintf("%v", v)
	if t, ok := v.(string); ok {
		s = fmt.Sprintf("%q", t)
	}
	if len(s) > maxShown {
		s = s[:maxShown] + "..."
	}
	return s
}
