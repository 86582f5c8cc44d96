package operator

import (
	"slices"
	"strings"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// lostSuffix marks a process that was lost before it confirmed. It gets no work until it reports again,
// and then learns the version first.
const lostSuffix = " (not heard of any more)"

// Confirmation tracks which entries and agents have confirmed a version of the configuration. A
// process that vanishes from the status before it confirmed stays unconfirmed.
type Confirmation struct {
	version uint64
	names   []string
	lost    map[string]bool
}

// NewConfirmation starts with the processes that an earlier Confirmation named as unconfirmed.
func NewConfirmation(version uint64, unconfirmed []string) *Confirmation {
	c := &Confirmation{version: version, lost: make(map[string]bool)}
	for _, n := range unconfirmed {
		name, lost := strings.CutSuffix(n, lostSuffix)
		c.names = append(c.names, name)
		c.lost[name] = lost
	}
	return c
}

// Observe takes in a newer status.
func (c *Confirmation) Observe(r *poplargwv1.GetStatusResponse) {
	versions := make(map[string]uint64)
	see := func(name string, version uint64) {
		versions[name] = version
		if version < c.version && !slices.Contains(c.names, name) {
			c.names = append(c.names, name)
		}
	}
	for _, e := range r.GetEntries() {
		see("entry "+e.GetId(), e.GetConfigVersion())
	}
	for _, a := range r.GetAgents() {
		see("agent "+a.GetId(), a.GetConfigVersion())
	}
	c.names = slices.DeleteFunc(c.names, func(name string) bool {
		version, known := versions[name]
		return known && version >= c.version
	})
	for _, name := range c.names {
		_, known := versions[name]
		c.lost[name] = !known
	}
}

// Waiting tells whether a process that is still heard of has not confirmed.
func (c *Confirmation) Waiting() bool {
	return slices.ContainsFunc(c.names, func(name string) bool { return !c.lost[name] })
}

// Unconfirmed names the processes that have not confirmed, for example "agent a7".
func (c *Confirmation) Unconfirmed() []string {
	var out []string
	for _, name := range c.names {
		if c.lost[name] {
			name += lostSuffix
		}
		out = append(out, name)
	}
	return out
}
