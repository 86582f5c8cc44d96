package settings

import (
	"net/netip"
	"net/url"
	"time"

	"poplargw.example/dispatch/sched"
)

// maxEntries is the largest number of entry addresses in the settings of an agent.
const maxEntries = 64

// readSettings reads every field and checks how fields fit together. Absent optional fields have their
// defaults. The result is valid only if no problem was found.
func (c *checker) readSettings() *Settings {
	s := Default()
	role := string(s.Role)
	if c.requiredString("role", &role, "entry, agent") && role != string(RoleEntry) && role != string(RoleAgent) {
		c.addProblem(NotAllowed, "role", formatValue(role), "entry, agent")
	}
	s.Role = Role(role)
	c.readNode(&s.Node)
	c.readListen(s.Role, &s.Listen)
	c.readTransport(s.Role, &s.Transport)
	c.readTLS(&s.TLS)
	c.readStore(s.Role, &s.Store)
	c.readLimits(&s.Limits)
	c.readScheduler(s.Role, &s.Scheduler)
	c.optionalChoice("log.level", &s.Log.Level, "debug", "info", "warn", "error")
	c.optionalChoice("log.format", &s.Log.Format, "auto", "text", "json")
	c.checkCombinations(&s)
	return &s
}

func (c *checker) readNode(n *Node) {
	c.requiredName("node.id", &n.ID)
	c.requiredName("node.domain", &n.Domain)
	c.requiredName("node.region", &n.Region)
}

func (c *checker) readListen(role Role, l *Listen) {
	c.requiredAddress("listen.peers", &l.Peers)
	c.optionalAddress("listen.advertise_peers", &l.AdvertisePeers)
	c.requiredAddress("listen.operators", &l.Operators)
	switch role {
	case RoleEntry:
		c.requiredAddress("listen.callers", &l.Callers)
		c.rejectForRole("listen.local", role)
	case RoleAgent:
		c.requiredLoopback("listen.local", &l.Local)
		c.rejectForRole("listen.callers", role)
	default:
		c.skip("listen.callers", "listen.local")
	}
}

func (c *checker) readTransport(role Role, t *Transport) {
	c.optionalChoice("transport.kind", &t.Kind, "tcp", "quic")
	c.optionalDuration("transport.dead_peer", &t.DeadPeer, 500*time.Millisecond, 30*time.Second)
	switch role {
	case RoleEntry:
		c.rejectForRole("transport.entries", role)
	case RoleAgent:
		c.requiredAddresses("transport.entries", &t.Entries)
	default:
		c.skip("transport.entries")
	}
}

func (c *checker) readTLS(t *TLS) {
	for _, f := range []struct {
		key string
		dst *string
	}{{"tls.cert", &t.Cert}, {"tls.key", &t.Key}, {"tls.ca", &t.CA}} {
		if c.requiredString(f.key, f.dst, "the name of a PEM file") && *f.dst == "" {
			c.addProblem(BadFile, f.key, formatValue(*f.dst), "the name of a PEM file")
		}
	}
}

func (c *checker) readStore(role Role, s *Store) {
	c.optionalDuration("store.timeout", &s.Timeout, 50*time.Millisecond, 10*time.Second)
	const allowed = "a URL of the form http://IP:port or https://IP:port"
	switch role {
	case RoleEntry:
		if c.requiredString("store.url", &s.URL, allowed) && !validStoreURL(s.URL) {
			c.addProblem(BadAddress, "store.url", formatValue(s.URL), allowed)
		}
	case RoleAgent:
		c.rejectForRole("store.url", role)
	default:
		c.skip("store.url")
	}
}

// validStoreURL tells whether s is an http or https URL with an IP address and a port, and without user,
// query or fragment.
func validStoreURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	a, err := netip.ParseAddrPort(u.Host)
	return err == nil && a.Port() != 0
}

func (c *checker) readLimits(l *Limits) {
	c.optionalDuration("limits.submission_window", &l.SubmissionWindow, 10*time.Second, time.Hour)
	c.optionalDuration("limits.clock_skew", &l.ClockSkew, 0, 30*time.Second)
	c.optionalDuration("limits.freshness", &l.Freshness, 500*time.Millisecond, time.Minute)
	c.optionalDuration("limits.token_age", &l.TokenAge, 100*time.Millisecond, time.Minute)
	c.optionalDuration("limits.peer_silence", &l.PeerSilence, time.Second, 5*time.Minute)
	c.optionalDuration("limits.announce_lease", &l.AnnounceLease, time.Second, time.Minute)
	c.optionalDuration("limits.drain_limit", &l.DrainLimit, time.Second, time.Hour)
	queue, budget := int64(l.QueueTasks), int64(l.RetryBudget)
	c.optionalInteger("limits.queue_tasks", &queue, 1, 10_000_000)
	c.optionalInteger("limits.result_bytes", &l.ResultBytes, 64<<10, 1<<30)
	c.optionalInteger("limits.retry_budget", &budget, 0, 100)
	l.QueueTasks, l.RetryBudget = int(queue), int(budget)
}

func (c *checker) readScheduler(role Role, s *Scheduler) {
	switch role {
	case RoleEntry:
		c.optionalChoice("scheduler.policy", &s.Policy, sched.Policies()...)
	case RoleAgent:
		c.rejectForRole("scheduler.policy", role)
	default:
		c.skip("scheduler.policy")
	}
}

// rejectForRole reports a key that the role does not use, because a setting without effect is misleading.
func (c *checker) rejectForRole(key string, role Role) {
	if v, ok := c.take(key); ok {
		c.addProblem(Conflicting, key, formatValue(v), "no value, because role "+string(role)+" does not use it")
	}
}

// skip marks keys as known without checking their values. It is used if the role is invalid, because whether
// these keys are required or rejected depends on the role.
func (c *checker) skip(keys ...string) {
	for _, key := range keys {
		c.take(key)
	}
}

// staleStartLimit bounds how long entries may still start tasks by the old configuration after an operator's
// change (invariants I3 and I7).
const staleStartLimit = 3 * time.Second

// checkCombinations reports settings that contradict each other.
func (c *checker) checkCombinations(s *Settings) {
	c.checkDistinctAddresses(s)
	l := &s.Limits
	switch {
	case l.Freshness+l.TokenAge > staleStartLimit:
		c.addProblem(Conflicting, "limits.freshness", formatValue(l.Freshness),
			"freshness and token_age together at most "+staleStartLimit.String()+", the bound for new starts after a change")
	case l.PeerSilence < l.Freshness+l.TokenAge:
		c.addProblem(Conflicting, "limits.peer_silence", formatValue(l.PeerSilence),
			"at least freshness and token_age together, so that a removed entry has stopped starting tasks")
	}
	if l.ClockSkew*2 >= l.SubmissionWindow {
		c.addProblem(Conflicting, "limits.clock_skew", formatValue(l.ClockSkew), "less than half of submission_window")
	}
}

// checkDistinctAddresses reports a listener address that an earlier listener already has.
func (c *checker) checkDistinctAddresses(s *Settings) {
	seen := make(map[string]string)
	for _, a := range []struct{ key, value string }{
		{"listen.peers", s.Listen.Peers}, {"listen.operators", s.Listen.Operators},
		{"listen.callers", s.Listen.Callers}, {"listen.local", s.Listen.Local},
	} {
		if a.value == "" {
			continue
		}
		if first, ok := seen[a.value]; ok {
			c.addProblem(Conflicting, a.key, formatValue(a.value), "an address other than that of "+first)
			continue
		}
		seen[a.value] = a.key
	}
}
