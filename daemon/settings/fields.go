package settings

import (
	"net/netip"
	"net/url"
	"time"

	"poplargw.example/dispatch/sched"
)

// maxEntries is the largest number of entry addresses of an agent.
const maxEntries = 64

// settings reads every field. It returns defaults for the fields that are absent or wrong; the
// problems say which these are.
func (c *checker) settings() *Settings {
	s := Default()
	role := string(s.Role)
	if c.required("role", &role, "entry, agent") && role != string(RoleEntry) && role != string(RoleAgent) {
		c.add(NotAllowed, "role", show(role), "entry, agent")
	}
	s.Role = Role(role)
	c.node(&s.Node)
	c.listen(s.Role, &s.Listen)
	c.transport(s.Role, &s.Transport)
	c.tls(&s.TLS)
	c.store(s.Role, &s.Store)
	c.limits(&s.Limits)
	c.scheduler(s.Role, &s.Scheduler)
	c.oneOf("log.level", &s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", &s.Log.Format, "auto", "text", "json")
	c.crossCheck(&s)
	return &s
}

func (c *checker) node(n *Node) {
	c.name("node.id", &n.ID)
	c.name("node.domain", &n.Domain)
	c.name("node.region", &n.Region)
}

func (c *checker) listen(role Role, l *Listen) {
	c.address("listen.peers", &l.Peers)
	c.optionalAddress("listen.advertise_peers", &l.AdvertisePeers)
	c.address("listen.operators", &l.Operators)
	switch role {
	case RoleEntry:
		c.address("listen.callers", &l.Callers)
		c.notForRole("listen.local", role)
	case RoleAgent:
		c.loopback("listen.local", &l.Local)
		c.notForRole("listen.callers", role)
	default:
		c.ignore("listen.callers", "listen.local")
	}
}

func (c *checker) transport(role Role, t *Transport) {
	c.oneOf("transport.kind", &t.Kind, "tcp", "quic")
	c.duration("transport.dead_peer", &t.DeadPeer, 500*time.Millisecond, 30*time.Second)
	switch role {
	case RoleEntry:
		c.notForRole("transport.entries", role)
	case RoleAgent:
		c.addresses("transport.entries", &t.Entries)
	default:
		c.ignore("transport.entries")
	}
}

func (c *checker) tls(t *TLS) {
	for _, f := range []struct {
		key string
		to  *string
	}{{"tls.cert", &t.Cert}, {"tls.key", &t.Key}, {"tls.ca", &t.CA}} {
		if c.required(f.key, f.to, "the name of a PEM file") && *f.to == "" {
			c.add(BadFile, f.key, show(*f.to), "the name of a PEM file")
		}
	}
}

func (c *checker) store(role Role, s *Store) {
	c.duration("store.timeout", &s.Timeout, 50*time.Millisecond, 10*time.Second)
	const allowed = "a URL of the form http://IP:port or https://IP:port"
	switch role {
	case RoleEntry:
		if c.required("store.url", &s.URL, allowed) && !validStoreURL(s.URL) {
			c.add(BadAddress, "store.url", show(s.URL), allowed)
		}
	case RoleAgent:
		c.notForRole("store.url", role)
	default:
		c.ignore("store.url")
	}
}

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

func (c *checker) limits(l *Limits) {
	c.duration("limits.submission_window", &l.SubmissionWindow, 10*time.Second, time.Hour)
	c.duration("limits.clock_skew", &l.ClockSkew, 0, 30*time.Second)
	c.duration("limits.freshness", &l.Freshness, 500*time.Millisecond, time.Minute)
	c.duration("limits.token_age", &l.TokenAge, 100*time.Millisecond, time.Minute)
	c.duration("limits.peer_silence", &l.PeerSilence, time.Second, 5*time.Minute)
	c.duration("limits.announce_lease", &l.AnnounceLease, time.Second, time.Minute)
	c.duration("limits.drain_limit", &l.DrainLimit, time.Second, time.Hour)
	queue, budget := int64(l.QueueTasks), int64(l.RetryBudget)
	c.integer("limits.queue_tasks", &queue, 1, 10_000_000)
	c.integer("limits.result_bytes", &l.ResultBytes, 64<<10, 1<<30)
	c.integer("limits.retry_budget", &budget, 0, 100)
	l.QueueTasks, l.RetryBudget = int(queue), int(budget)
}

func (c *checker) scheduler(role Role, s *Scheduler) {
	switch role {
	case RoleEntry:
		c.oneOf("scheduler.policy", &s.Policy, sched.Policies()...)
	case RoleAgent:
		c.notForRole("scheduler.policy", role)
	default:
		c.ignore("scheduler.policy")
	}
}

// notForRole reports a key that the role does not use: a setting without effect misleads.
func (c *checker) notForRole(key string, role Role) {
	if v, ok := c.take(key); ok {
		c.add(Conflicting, key, show(v), "no value, because role "+string(role)+" does not use it")
	}
}

// ignore passes over keys that can only be judged with a valid role.
func (c *checker) ignore(keys ...string) {
	for _, key := range keys {
		c.take(key)
	}
}

// maxStopDelay is the bound within which an operator's change must stop new starts (I3 and I7).
const maxStopDelay = 3 * time.Second

func (c *checker) crossCheck(s *Settings) {
	c.differentAddresses(s)
	l := &s.Limits
	switch {
	case l.Freshness+l.TokenAge > maxStopDelay:
		c.add(Conflicting, "limits.freshness", show(l.Freshness),
			"freshness and token_age together at most "+maxStopDelay.String()+", the bound for new starts after a change")
	case l.PeerSilence < l.Freshness+l.TokenAge:
		c.add(Conflicting, "limits.peer_silence", show(l.PeerSilence),
			"at least freshness and token_age together, so that a removed entry has stopped starting tasks")
	}
	if l.ClockSkew*2 >= l.SubmissionWindow {
		c.add(Conflicting, "limits.clock_skew", show(l.ClockSkew), "less than half of submission_window")
	}
}

func (c *checker) differentAddresses(s *Settings) {
	seen := make(map[string]string)
	for _, a := range []struct{ key, value string }{
		{"listen.peers", s.Listen.Peers}, {"listen.operators", s.Listen.Operators},
		{"listen.callers", s.Listen.Callers}, {"listen.local", s.Listen.Local},
	} {
		if a.value == "" {
			continue
		}
		if first, ok := seen[a.value]; ok {
			c.add(Conflicting, a.key, show(a.value), "an address other than that of "+first)
			continue
		}
		seen[a.value] = a.key
	}
}
