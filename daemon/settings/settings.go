// Package settings reads and checks the TOML settings file of a daemon.
package settings

import (
	"net/netip"
	"time"

	"poplargw.example/dispatch/sched"
)

// Role tells whether a daemon is an entry or an agent.
type Role string

// Roles of a daemon.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Settings holds the settings of one daemon, checked and with defaults filled in.
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

// Node holds the identity and the location of the process.
type Node struct {
	// ID is unique in the system, 1 to 64 characters.
	ID string
	// Domain is the failure domain of the process, Region its region.
	Domain string
	Region string
}

// Listen holds the addresses on which the process listens, as IP:port. Port 0 is not allowed.
type Listen struct {
	// Callers serves callers. Only entries use it.
	Callers string
	// Peers serves the other processes of the system. Calls to them are made from its IP address.
	Peers string
	// AdvertisePeers is the address at which the other processes reach Peers; empty means that of Peers.
	AdvertisePeers string
	// Operators serves the operator API, metrics, and the health and readiness checks.
	Operators string
	// Local serves the backend servers on the same VM, which announce themselves here. Only agents use it.
	Local string
}

// PeerAddress returns the address at which other processes of the system reach this one.
func (l *Listen) PeerAddress() string {
	if l.AdvertisePeers != "" {
		return l.AdvertisePeers
	}
	return l.Peers
}

// OperatorAddress returns the address at which operators reach this process: that of the operators'
// listener, or, if it listens on all IP addresses, the IP of the peer address with its port.
func (l *Listen) OperatorAddress() string {
	own, err := netip.ParseAddrPort(l.Operators)
	peer, peerErr := netip.ParseAddrPort(l.PeerAddress())
	if err != nil || peerErr != nil || !own.Addr().IsUnspecified() {
		return l.Operators
	}
	return netip.AddrPortFrom(peer.Addr(), own.Port()).String()
}

// Transport configures the connections between processes of the system.
type Transport struct {
	// Kind is "quic" or "tcp".
	Kind string
	// Entries holds the peer addresses of entries from which an agent gets the entry table.
	Entries []string
	// DeadPeer is how long a connection with calls in flight may receive nothing before it counts as dead.
	DeadPeer time.Duration
}

// TLS names the files for mutual TLS between the processes of the system.
type TLS struct {
	Cert string
	Key  string
	CA   string
}

// Store configures an entry's access to the platform's store.
type Store struct {
	URL     string
	Timeout time.Duration
}

// Limits holds the limits whose effects callers and operators can observe.
type Limits struct {
	// SubmissionWindow is how long after its first send a submission may be resent.
	SubmissionWindow time.Duration
	// ClockSkew is the largest clock difference between callers and entries.
	ClockSkew time.Duration
	// Freshness is how long an entry may start tasks after a store read or a majority heartbeat.
	Freshness time.Duration
	// TokenAge is the largest age of a start token at the agent.
	TokenAge time.Duration
	// PeerSilence is how long an entry or an agent may send nothing before it counts as lost.
	PeerSilence time.Duration
	// AnnounceLease is how long a backend server stays known without renewing its announcement.
	AnnounceLease time.Duration
	// DrainLimit is how long a graceful stop may take.
	DrainLimit time.Duration
	// QueueTasks is the largest number of queued tasks of an entry.
	QueueTasks int
	// ResultBytes bounds the memory for kept results, in bytes.
	ResultBytes int64
	// RetryBudget is how often one task may be placed again after refusals with the effect "not run".
	RetryBudget int
}

// Scheduler configures how an entry chooses backend servers.
type Scheduler struct {
	// Policy is one of sched.Policies. Policies other than sched.PolicyCompletion are for comparison only.
	Policy string
}

// Log configures the level and the format of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is auto, text or json; auto means text on a terminal and json otherwise.
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
