package fence

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"poplargw.example/dispatch/result"
)

// Announcement describes a backend server as it announces itself to the agent.
type Announcement struct {
	// Server is the name of the backend server, and Instance identifies its process.
	Server   string
	Instance string
	Service  string
	Kinds    []string
	// Slots and Connections limit the tasks that run at the same time. A task takes one
	// connection and the slots of its kind.
	Slots       uint32
	Connections uint32
	// Address is the network address on which the backend server takes tasks.
	Address string
}

// ErrReplaced is returned for an announcement by a process that a newer process of the same name has replaced.
var ErrReplaced = errors.New("a newer instance of the backend server has announced itself")

// ErrNotAnnounced is returned for a Leave of an instance that is not announced.
var ErrNotAnnounced = errors.New("backend server is not announced")

// server is one instance of a backend server. Records of an instance that was
// replaced keep pointing to it, so that their end frees no slot of its successor.
type server struct {
	announcement Announcement
	// replacedInstance is the instance that this one has replaced; empty if there was none.
	replacedInstance string
	// renewedAt is the time of the newest announcement on the monotonic clock.
	renewedAt time.Duration
	usedSlots uint32
	running   uint32
	leaving   bool
}

// unusedSlots returns the number of slots that no task takes.
func (s *server) unusedSlots() uint32 {
	if s.usedSlots >= s.announcement.Slots {
		return 0
	}
	return s.announcement.Slots - s.usedSlots
}

// freeSlots returns the number of slots that are reported as free: the unused slots, but no
// more than the free connections. Each task also takes a connection, so starts on further
// slots would be refused.
func (s *server) freeSlots() uint32 {
	if s.running >= s.announcement.Connections {
		return 0
	}
	return min(s.unusedSlots(), s.announcement.Connections-s.running)
}

// leaseValid reports whether the server has announced itself within the lease.
func (f *Fence) leaseValid(s *server, now Clocks) bool { return now.Mono-s.renewedAt <= f.opts.Lease }

// Announce registers a backend server or renews its lease. A new instance starts
// with all slots free. It reports whether the set of valid servers or the capacity
// of one has changed, which has to be reported to the entries. It returns ErrReplaced for
// the instance that the present one has replaced.
func (f *Fence) Announce(a Announcement, now Clocks) (changed bool, err error) {
	s := f.servers[a.Server]
	switch {
	case s == nil:
		s = &server{}
		changed = true
	case s.replacedInstance == a.Instance:
		return false, ErrReplaced
	case s.announcement.Instance != a.Instance:
		s = &server{replacedInstance: s.announcement.Instance}
		changed = true
	default:
		changed = !f.leaseValid(s, now) || !sameCapacity(s.announcement, a)
	}
	s.announcement, s.renewedAt = a, now.Mono
	f.servers[a.Server] = s
	return changed, nil
}

// sameCapacity reports whether both announcements let the same tasks run at the same address.
func sameCapacity(a, b Announcement) bool {
	return a.Service == b.Service && a.Slots == b.Slots && a.Connections == b.Connections &&
		a.Address == b.Address && slices.Equal(a.Kinds, b.Kinds)
}

// Leave makes the fence refuse new starts on a backend server and returns the number of
// tasks that run there. It returns ErrNotAnnounced if that instance is not announced.
func (f *Fence) Leave(name, instance string) (running uint32, err error) {
	s := f.servers[name]
	if s == nil || s.announcement.Instance != instance {
		return 0, ErrNotAnnounced
	}
	s.leaving = true
	return s.running, nil
}

// expireLeases drops servers whose lease has ended and returns their names. One that still
// runs tasks stays registered, so that its slots are not counted as free if it announces
// itself again.
func (f *Fence) expireLeases(now Clocks) []string {
	var expired []string
	for name, s := range f.servers {
		if f.leaseValid(s, now) {
			continue
		}
		if s.running == 0 {
			delete(f.servers, name)
		}
		expired = append(expired, name)
	}
	return expired
}

// checkServer returns the backend server of the request, or a refusal if the task cannot start there.
func (f *Fence) checkServer(r Request, now Clocks) (*result.Failure, *server) {
	s := f.servers[r.Server]
	switch {
	case s == nil || !f.leaseValid(s, now):
		return notRun(result.UnknownServer, "the backend server has not announced itself to this agent within its lease"), nil
	case s.announcement.Service != r.Service || !slices.Contains(s.announcement.Kinds, r.Kind):
		return notRun(result.UnknownServer, "the backend server does not serve this service and kind"), nil
	case f.serversOut[r.Server]:
		return notRun(result.ServerOut, "the backend server is out of service"), nil
	case f.domainOut:
		return notRun(result.DomainOut, "the failure domain is out of service"), nil
	case s.leaving:
		return notRun(result.ServerLeaving, "the backend server is shutting down"), nil
	case s.unusedSlots() < max(1, f.kinds[kindKey{r.Service, r.Kind}].slots):
		return notRun(result.NoFreeSlot, "the backend server has too few free slots for the kind"), nil
	case s.running >= s.announcement.Connections:
		return notRun(result.NoFreeConnection, "the backend server has no free connection"), nil
	}
	return nil, s
}

// Server is the state of an announced backend server.
type Server struct {
	Announcement
	// FreeSlots is the number of slots that new tasks can take.
	FreeSlots uint32
	// Running is the number of running tasks.
	Running uint32
	// Leaving is set once Leave was called for the instance.
	Leaving bool
}

// Servers returns the backend servers with a valid lease, sorted by name.
func (f *Fence) Servers(now Clocks) []Server {
	var all []Server
	for _, s := range f.servers {
		if f.leaseValid(s, now) {
			all = append(all, Server{Announcement: s.announcement, FreeSlots: s.freeSlots(), Running: s.running, Leaving: s.leaving})
		}
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// LowOnSlots reports whether fewer than half of the slots of a backend server are free. It
// returns false for a server that is not registered.
func (f *Fence) LowOnSlots(name string) bool {
	s := f.servers[name]
	return s != nil && 2*s.freeSlots() < s.announcement.Slots
}

// FreeSlots returns the number of free slots of a backend server; 0 without a valid lease.
func (f *Fence) FreeSlots(name string, now Clocks) uint32 {
	if s := f.servers[name]; s != nil && f.leaseValid(s, now) {
		return s.freeSlots()
	}
	return 0
}
