package prove

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"poplargw.example/lab/testbed"
	"poplargw.example/store"
)

// fault is a failure to inject: begin causes it and end repairs it. Both are called on the test's
// goroutine.
type fault struct {
	name  string
	begin func(s *system)
	end   func(s *system)
}

// faults returns the failures that the system has to tolerate at any time, alone and in pairs.
func faults() []fault {
	return []fault{
		{"entry-killed", func(s *system) { s.entries[0].kill() }, func(s *system) { s.entries[0].start() }},
		{"entry-frozen", func(s *system) { s.entries[1].freeze() }, func(s *system) { s.entries[1].unfreeze() }},
		{"entry-cut-off", func(s *system) { s.isolate(2) }, func(s *system) { s.reconnect(2) }},
		{"agent-killed", func(s *system) { s.agents[0].kill() }, func(s *system) { s.agents[0].start() }},
		{"agent-frozen", func(s *system) { s.agents[1].freeze() }, func(s *system) { s.agents[1].unfreeze() }},
		{"server-killed", func(s *system) { s.servers[2].kill() }, func(s *system) { s.servers[2].start() }},
		{"store-down", func(s *system) { s.setStoreFaults(store.Faults{Unavailable: true}) }, func(s *system) { s.setStoreFaults(store.Faults{}) }},
		{"connections-silent", (*system).silenceOpenConnections, (*system).silenceOpenConnections},
	}
}

// silenceOpenConnections permanently drops all traffic on the connections between entries and agents
// that are open now. New connections work.
func (s *system) silenceOpenConnections() {
	for _, f := range s.peerForwarders {
		for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
			f.SilenceOpen(p.IP)
		}
	}
}

// reconnect undoes isolate.
func (s *system) reconnect(entry int) {
	e := s.entries[entry]
	s.storeForwarders[e.Name].SetMode(testbed.AnySource, testbed.LinkOpen)
	for i, other := range s.entries {
		if i != entry {
			s.peerForwarders[e.Name].SetMode(other.IP, testbed.LinkOpen)
			s.peerForwarders[other.Name].SetMode(e.IP, testbed.LinkOpen)
		}
	}
}

// pairsSeed returns the seed of the random times in TestFaultPairs: the environment variable
// PROVE_SEED, or 1 if it is not set.
func pairsSeed(t *testing.T) uint64 {
	text, ok := os.LookupEnv("PROVE_SEED")
	if !ok {
		return 1
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("PROVE_SEED: %v", err)
	}
	return seed
}

// TestFaultPairs injects each fault alone and each pair of faults under load. It guards against
// duplicate starts, a false "not run", partial answers, answers of other jobs, and a system that does
// not complete jobs again within 30 s. The seed determines when the faults begin and end.
func TestFaultPairs(t *testing.T) {
	skipIfShort(t)
	seed := pairsSeed(t)
	all := faults()
	for i := range all {
		for k := i; k < len(all); k++ {
			a, b := all[i], all[k]
			t.Run(fmt.Sprintf("%s+%s", a.name, b.name), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(seed, uint64(i*len(all)+k)))
				runFaultPair(t, rng, a, b, i == k)
			})
		}
	}
}

// runFaultPair injects fault a and, unless alone is set, fault b, and checks the jobs sent meanwhile.
func runFaultPair(t *testing.T, rng *rand.Rand, a, b fault, alone bool) {
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(loadShape{entries: []int{0, 1, 2}, interval: 40 * time.Millisecond, tasks: 4, ms: 120, resend: true})
	wait := func(limit time.Duration) { time.Sleep(time.Duration(rng.Int64N(int64(limit)))) }
	wait(time.Second)
	a.begin(s)
	if !alone {
		wait(2 * time.Second)
		b.begin(s)
	}
	wait(5 * time.Second)
	a.end(s)
	if !alone {
		wait(2 * time.Second)
		b.end(s)
	}
	time.Sleep(time.Second)
	jobs := l.stop()
	logResult(t, "%v", countOutcomes(jobs))
	s.eventually(30*time.Second, "every entry completes jobs again", func() bool {
		for i := range s.entries {
			if newJob("quick", 3, 10, 2*time.Second).send(s, i).answer == nil {
				return false
			}
		}
		return true
	})
	s.verify(jobs...)
}
