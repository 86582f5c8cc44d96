package fence

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"poplargw.example/dispatch/result"
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	Server      string
	Instance    string
	Service     string
	Kinds       []string
	Slots       uint32
	Connections uint32
	Address     string
}

// ErrReplaced reports an announcement by a process whose server name a newer process has taken.
var ErrReplaced = errors.New("another instance of the backend server has announced itself since")

// ErrNotAnnounced reports a leave by a backend server that is not known.
var ErrNotAnnounced = errors.New("backend server is not announced")

// server is one instance of a backend server. Records of an instance that was
// replaced keep pointing to it, so that their end frees no slot of its successor.
type server struct {
	a        Announcement
	previous string
	renewed  time.Duration
	used     uint32
	running  uint32
	leaving  bool
}

// unused returns the slots that no task takes.
func (s *server) unused() uint32 {
	if s.used >= s.a.Slots {
		return 0
	}
	return s.a.Slots - s.used
}

// free returns the slots that a home can use: each running task also takes a connection,
// so slots beyond the free connections would only be refused.
func (s *server) free() uint32 {
	if s.running >= s.a.Connections {
		return 0
	}
	return min(s.unused(), s.a.Connections-s.running)
}

func (f *Fence) alive(s *server, now Now) bool { return now.Mono-s.renewed <= f.o.Lease }

// Announce registers a backend server or renews its lease. A new instance
// starts with all slots free. It returns whether routing has changed, and
// ErrReplaced for an instance that was replaced before.
func (f *Fence) Announce(a Announcement, now Now) (changed bool, err error) {
	s := f.servers[a.Server]
	switch {
	case s == nil:
		s = &server{}
		changed = true
	case s.previous == a.Instance:
		return false, ErrReplaced
	case s.a.Instance != a.Instance:
		s = &server{previous: s.a.Instance}
		changed = true
	default:
		changed = !f.alive(s, now) || !sameCapacity(s.a, a)
	}
	s.a, s.renewed = a, now.Mono
	f.servers[a.Server] = s
	return changed, nil
}

func sameCapacity(a, b Announcement) bool {
	return a.Service == b.Service && a.Slots == b.Slots && a.Connections == b.Connections &&
		a.Address == b.Address && slices.Equal(a.Kinds, b.Kinds)
}

// Leave stops new work for a backend server and returns how many tasks run
// there. It returns ErrNotAnnounced if that instance is not known.
func (f *Fence) Leave(name, instance string) (running uint32, err error) {
	s := f.servers[name]
	if s == nil || s.a.Instance != instance {
		return 0, ErrNotAnnounced
	}
	s.leaving = true
	return s.running, nil
}

// expire drops servers whose lease has ended. One that still runs tasks stays
// known, so that its slots are not counted as free if it announces itself again.
func (f *Fence) expire(now Now) []string {
	var gone []string
	for name, s := range f.servers {
		if f.alive(s, now) {
			continue
		}
		if s.running == 0 {
			delete(f.servers, name)
		}
		gone = append(gone, name)
	}
	return gone
}

func (f *Fence) checkServer(r Request, now Now) (*result.Failure, *server) {
	s := f.servers[r.Server]
	switch {
	case s == nil || !f.alive(s, now):
		return notRun(result.UnknownServer, "backend server is not announced here"), nil
	case s.a.Service != r.Service || !slices.Contains(s.a.Kinds, r.Kind):
		return notRun(result.UnknownServer, "backend server does not serve this service and kind"), nil
	case f.out[r.Server]:
		return notRun(result.ServerOut, "backend server is out of service"), nil
	case f.away:
		return notRun(result.DomainOut, "failure domain is out of service"), nil
	case s.leaving:
		return notRun(result.ServerLeaving, "backend server is leaving"), nil
	case s.unused() < max(1, f.kinds[kindName{r.Service, r.Kind}].slots):
		return notRun(result.NoFreeSlot, "no free slot"), nil
	case s.running >= s.a.Connections:
		return notRun(result.NoFreeConnection, "no free connection"), nil
	}
	return nil, s
}

// Server is the state of an announced backend server.
type Server struct {
	Announcement
	FreeSlots uint32
	Running   uint32
	Leaving   bool
}

// Servers returns the backend servers with a valid lease, by name.
func (f *Fence) Servers(now Now) []Server {
	var all []Server
	for _, s := range f.servers {
		if f.alive(s, now) {
			all = append(all, Server{Announcement: s.a, FreeSlots: s.free(), Running: s.running, Leaving: s.leaving})
		}
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// Scarce tells whether fewer than half of the slots of a backend server are free.
func (f *Fence) Scarce(name string) bool {
	s := f.servers[name]
	return s != nil && 2*s.free() < s.a.Slots
}

// FreeSlots returns the free slots of a backend server; 0 if it is not known.
func (f *Fence) FreeSlots(name string, now Now) uint32 {
	if s := f.servers[name]; s != nil && f.alive(s, now) {
		return s.free()
	}
	return 0
}
