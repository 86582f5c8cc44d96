// Package settings reads and checks the TOML settings of a daemon.
package settings

import (
	"net/netip"
	"time"

	"poplargw.example/dispatch/sched"
)

// Role is what a daemon does.
type Role string

// Roles of a daemon.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Settings are the settings of one daemon, checked and with defaults filled in.
type Settings struct {
	Role      Role
	Node      Node
	Listen    Listen
	Transport Transport
	TLS       TLS
	Store     Store
	Limits    Limits
	Scheduler Scheduler
	Log       Log
}

// Node says who and where the process is.
type Node struct {
	// ID is unique in the system, 1 to 64 characters.
	ID string
	// Domain is the failure domain, Region the region.
	Domain string
	Region string
}

// Listen holds addresses as IP:port. Port 0 is not allowed.
type Listen struct {
	// Callers is used by entries only.
	Callers string
	// Peers serves the other processes of the system. Calls to them come from its IP.
	Peers string
	// AdvertisePeers is where the other processes reach Peers; empty means that address itself.
	AdvertisePeers string
	// Operators serves the operator API, metrics, health and readiness.
	Operators string
	// Local is used by agents only: backend servers on the same VM announce themselves here.
	Local string
}

// PeerAddress returns where other processes of the system reach this one.
func (l *Listen) PeerAddress() string {
	if l.AdvertisePeers != "" {
		return l.AdvertisePeers
	}
	return l.Peers
}

// OperatorAddress returns where operators reach this process: the operators' listener, at the IP
// of the peer address if it listens on all addresses.
func (l *Listen) OperatorAddress() string {
	own, err := netip.ParseAddrPort(l.Operators)
	peer, peerErr := netip.ParseAddrPort(l.PeerAddress())
	if err != nil || peerErr != nil || !own.Addr().IsUnspecified() {
		return l.Operators
	}
	return netip.AddrPortFrom(peer.Addr(), own.Port()).String()
}

// Transport is how processes of the system talk to each other.
type Transport struct {
	// Kind is "quic" or "tcp".
	Kind string
	// Entries holds peer addresses of entries from which an agent learns the entry table.
	Entries []string
	// DeadPeer is how long a connection with calls in flight may be silent.
	DeadPeer time.Duration
}

// TLS names the files for mutual TLS between the processes of the system.
type TLS struct {
	Cert string
	Key  string
	CA   string
}

// Store says how an entry reaches the platform's store.
type Store struct {
	URL     string
	Timeout time.Duration
}

// Limits holds the bounds that callers and operators can observe.
type Limits struct {
	// SubmissionWindow is how long after its first send a submission may be sent again.
	SubmissionWindow time.Duration
	// ClockSkew is the largest clock difference between callers and entries.
	ClockSkew time.Duration
	// Freshness is how long an entry may start tasks after a store read or a majority heartbeat.
	Freshness time.Duration
	// TokenAge is the largest age of a start token at the agent.
	TokenAge time.Duration
	// PeerSilence is how long an entry or an agent may be silent before it counts as lost.
	PeerSilence time.Duration
	// AnnounceLease is how long a backend server stays known without renewal.
	AnnounceLease time.Duration
	// DrainLimit is how long a graceful stop may take.
	DrainLimit time.Duration
	// QueueTasks is the largest number of queued tasks of an entry.
	QueueTasks int
	// ResultBytes bounds the memory for kept results.
	ResultBytes int64
	// RetryBudget is how often one task may be placed again after refusals that are "not run".
	RetryBudget int
}

// Scheduler says how an entry chooses backend servers.
type Scheduler struct {
	// Policy is one of sched.Policies. Those other than sched.PolicyCompletion serve comparisons.
	Policy string
}

// Log says what is logged and how.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is auto, text or json; auto is text on a terminal.
	Format string
}

// Default returns the settings with every default filled in and the required fields empty.
func Default() Settings {
	return Settings{
		Transport: Transport{Kind: "tcp", DeadPeer: 3 * time.Second},
		Store:     Store{Timeout: time.Second},
		Limits: Limits{
			SubmissionWindow: 2 * time.Minute,
			ClockSkew:        2 * time.Second,
			Freshness:        2 * time.Second,
			TokenAge:         time.Second,
			PeerSilence:      3 * time.Second,
			AnnounceLease:    3 * time.Second,
			DrainLimit:       70 * time.Second,
			QueueTasks:       100_000,
			ResultBytes:      16 << 20,
			RetryBudget:      8,
		},
		Scheduler: Scheduler{Policy: sched.PolicyCompletion},
		Log:       Log{Level: "info", Format: "auto"},
	}
}
