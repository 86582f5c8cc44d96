package operator

import (
	"slices"
	"strings"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// lostSuffix marks a process that was lost before it confirmed the version. Such a process gets no work
// until it reports again, and then it gets the version first. The suffix is part of ApplyResponse.unconfirmed,
// from which NewConfirmation parses it.
const lostSuffix = " (not heard of any more)"

// Confirmation tracks which entries and agents have confirmed a version of the configuration. A
// process that disappears from the status before it confirmed the version stays unconfirmed.
type Confirmation struct {
	version uint64
	// names holds the unconfirmed processes, such as "agent a7".
	names []string
	// lost tells which of them are missing in the newest status.
	lost map[string]bool
}

// NewConfirmation returns a Confirmation of the version. It starts with the processes that Unconfirmed of an
// earlier Confirmation returned, if any.
func NewConfirmation(version uint64, unconfirmed []string) *Confirmation {
	c := &Confirmation{version: version, lost: make(map[string]bool)}
	for _, n := range unconfirmed {
		name, lost := strings.CutSuffix(n, lostSuffix)
		c.names = append(c.names, name)
		c.lost[name] = lost
	}
	return c
}

// Observe updates the set of unconfirmed processes from a newer status.
func (c *Confirmation) Observe(r *poplargwv1.GetStatusResponse) {
	versions := make(map[string]uint64)
	observeVersion := func(name string, version uint64) {
		versions[name] = version
		if version < c.version && !slices.Contains(c.names, name) {
			c.names = append(c.names, name)
		}
	}
	for _, e := range r.GetEntries() {
		observeVersion("entry "+e.GetId(), e.GetConfigVersion())
	}
	for _, a := range r.GetAgents() {
		observeVersion("agent "+a.GetId(), a.GetConfigVersion())
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

// Waiting tells whether a process that is in the newest status has not confirmed the version.
func (c *Confirmation) Waiting() bool {
	return slices.ContainsFunc(c.names, func(name string) bool { return !c.lost[name] })
}

// Unconfirmed returns the processes that have not confirmed the version, for example "agent a7". Lost ones
// have the suffix " (not heard of any more)".
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
