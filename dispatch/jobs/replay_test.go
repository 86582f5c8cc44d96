package jobs

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"poplargw.example/dispatch/partner"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// The replay drives several schedulers against one set of backend servers in simulated time: messages
// take a while, declared run times are off, servers differ in speed, and troubles come at set times.

// oneWay is the time of a message between an entry and an agent.
const oneWay = 2 * time.Millisecond

// kind is a kind of request.
type kind struct {
	name     string
	share    float64
	width    int
	work     time.Duration
	priority int
}

// kinds are the mix that both users send.
var kinds = []kind{
	{"check", 34.4, 8, 60 * time.Millisecond, 0},
	{"quote", 6.25, 4, 900 * time.Millisecond, 2},
	{"price", 100, 2, 200 * time.Millisecond, 1},
}

const taskCPU = 3100

// offerHold is how long an agent holds room for one entry.
const offerHold = 12 * time.Millisecond

// machine is a simulated backend server with its agent.
type machine struct {
	id    string
	room  int64
	speed float64 // run time factor
	dead  bool
	fails bool
	stall bool
	runs  map[run.Ref]*simRun
	acked []uint64 // newest frame of each entry
	// sessions are the entries that have a link, in ascending order.
	sessions []int
	domain   string
	service  string
	// offers shares free room among the entries, by their number.
	offers *runtable.Offers
}

func ownerOf(entry int) string { return fmt.Sprint(entry) }

// refs returns the runs in a fixed order, so that a seed always gives the same replay.
func (m *machine) refs() []run.Ref {
	list := slices.Collect(maps.Keys(m.runs))
	slices.SortFunc(list, func(a, b run.Ref) int { return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run)) })
	return list
}

// freeFor is the room that the entry may use.
func (m *machine) freeFor(entry int, now time.Time) run.Demand {
	return m.free().Minus(m.offers.Others(now, ownerOf(entry)))
}

type simRun struct {
	entry int
	cpu   int64
	work  time.Duration // at factor 1
	done  float64       // share
	at    time.Time     // of done
	begun time.Time
}

func (m *machine) progress(r *simRun, now time.Time) float64 {
	if m.stall {
		return r.done
	}
	return r.done + float64(now.Sub(r.at))/(float64(r.work)*m.speed)
}

func (m *machine) free() run.Demand {
	free := m.room
	for _, r := range m.runs {
		free -= r.cpu
	}
	return run.Demand{CPU: free, MemoryMB: 1 << 20}
}

// simEvent is something that happens at a time; events of one time keep their order.
type simEvent struct {
	at time.Time
	n  int
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].n < q[j].n
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// tally counts how jobs ended.
type tally struct {
	asked, inAim, late, useless, rejected, failed int
	// heldRejected are jobs that were rejected later than a quarter of their objective after their arrival.
	heldRejected int
	noAdvice     int
	lost         float64 // processor seconds of runs that were stopped
}

func (t tally) String() string {
	return fmt.Sprintf("asked %d, in aim %.3f, late %.3f, useless %.3f, rejected %.3f (held %d), failed %.3f, lost %.0f s",
		t.asked, t.part(t.inAim), t.part(t.late), t.part(t.useless), t.part(t.rejected), t.heldRejected, t.part(t.failed), t.lost)
}

func (t tally) part(n int) float64 { return float64(n) / float64(max(t.asked, 1)) }

// world is one replay.
type world struct {
	setting
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	queue    simQueue
	n        int
	machines []*machine
	entries  []*Scheduler
	works    map[string]time.Duration // of the longest task of a job
	taskWork map[string]time.Duration
	arrived  map[string]time.Time
	kindOf   map[string]kind
	from     time.Time
	until    time.Time
	tally    tally
	orders   int
	refused  int // orders for want of room
	byKind   map[string]*tally
	told     map[told]bool // tasks wait
	gone     map[int]bool  // entries without power; agents notice only that they are silent
	// beatEvery is the time between two reports of a machine without news.
	beatEvery time.Duration
	// weights are the entries' shares of the callers; nil means equal ones.
	weights []float64
	byID    map[string]*machine
	// partners are the sets of entries that do not know all machines; see large_test.go.
	partners []*partner.Set
	frames   []int // of each entry, both ways
}

// setting is what jobs and backend servers of a replay are like.
type setting struct {
	kinds   []kind
	latency time.Duration // fixed part of the objective
	// oneWay is the time of a message, hold how long an agent holds room for an entry.
	oneWay, hold time.Duration
	// rooms are the processor rooms of the backend servers in turn, services their services.
	rooms    []int64
	services []string
}

// usual is the setting of both users: three kinds, one service, rooms of 32 and 48 cores.
var usual = setting{kinds: kinds, latency: 60 * time.Millisecond, rooms: []int64{32000, 32000, 48000}, services: []string{"svc"}, oneWay: oneWay, hold: offerHold}

func newWorld(t *testing.T, seed uint64, entries int, speeds []float64) *world {
	return newWorldOf(t, seed, entries, speeds, usual)
}

func newWorldOf(t *testing.T, seed uint64, entries int, speeds []float64, set setting) *world {
	w := &world{
		setting: set,
		t:       t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), works: map[string]time.Duration{},
		taskWork: map[string]time.Duration{}, arrived: map[string]time.Time{}, kindOf: map[string]kind{}, byKind: map[string]*tally{},
		told: map[told]bool{}, gone: map[int]bool{}, beatEvery: 50 * time.Millisecond, byID: map[string]*machine{},
		frames: make([]int, entries),
	}
	w.addMachines(11, 1, speeds, entries)
	for i := range entries {
		w.entries = append(w.entries, New(testLimits))
		for _, m := range w.machines {
			w.link(i, m)
		}
	}
	w.start()
	return w
}

// addMachines adds backend servers of three sizes, in failure domains in turn.
func (w *world) addMachines(n, domains int, speeds []float64, entries int) {
	for range n {
		i := len(w.machines)
		m := &machine{
			id: fmt.Sprintf("m%02d", i), room: w.rooms[i%len(w.rooms)], service: w.services[i%len(w.services)], speed: speeds[i%len(speeds)], runs: map[run.Ref]*simRun{},
			acked: make([]uint64, entries), offers: runtable.NewOffers(w.hold), domain: domainName(i % domains),
		}
		w.machines = append(w.machines, m)
		w.byID[m.id] = m
	}
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// link opens a link between an entry and a machine.
func (w *world) link(i int, m *machine) {
	s := w.entries[i]
	m.sessions = append(m.sessions, i)
	slices.Sort(m.sessions)
	s.AgentUp(w.now, m.id)
	s.Report(w.now, m.id, Report{Server: m.server(), Free: m.freeFor(i, w.now), Entries: len(m.sessions)})
	s.Take()
}

func (m *machine) server() run.Server {
	v := serverOf(m.id, m.room)
	v.Domain = m.domain
	v.Service = m.service
	return v
}

// start lets everybody do what is done at fixed times.
func (w *world) start() {
	for i := range w.entries {
		w.tick(i)
	}
	for _, m := range w.machines {
		w.beat(m)
		w.retry(m)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.n++
	heap.Push(&w.queue, simEvent{w.now.Add(d), w.n, do})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(simEvent)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// tick drives one entry.
func (w *world) tick(i int) {
	if w.gone[i] {
		return
	}
	w.entries[i].Tick(w.now)
	w.stepPartners(i)
	w.flush(i)
	w.after(20*time.Millisecond, func() { w.tick(i) })
}

// retry lets an agent offer room again that was offered in vain.
func (w *world) retry(m *machine) {
	w.tell(m, map[int][]run.Event{})
	w.after(5*time.Millisecond, func() { w.retry(m) })
}

// beat lets an agent tell all entries its state and the progress of their runs.
func (w *world) beat(m *machine) {
	if !m.dead {
		for _, i := range m.sessions {
			if !w.gone[i] {
				w.sendWant(m, i)
			}
			w.reportTo(m, i, nil)
		}
	}
	w.after(w.beatEvery, func() { w.beat(m) })
}

// reportTo sends an agent's state to an entry, with events.
func (w *world) reportTo(m *machine, i int, events []run.Event) {
	s := w.entries[i]
	w.frames[i]++
	report := Report{Server: m.server(), Free: m.freeFor(i, w.now), Ack: m.acked[i], Entries: len(m.sessions)}
	type seen struct {
		ref     run.Ref
		percent int
		begun   time.Time
	}
	var progress []seen
	for _, ref := range m.refs() {
		if r := m.runs[ref]; r.entry == i {
			progress = append(progress, seen{ref, int(100 * min(0.99, m.progress(r, w.now))), r.begun})
		}
	}
	w.after(w.oneWay, func() {
		if w.gone[i] {
			return
		}
		s.Heard(w.now, m.id)
		for _, p := range progress {
			s.Progress(w.now, m.id, p.ref, p.percent, w.now.Sub(p.begun))
		}
		for _, e := range events {
			s.Event(w.now, m.id, e)
		}
		s.Report(w.now, m.id, report)
		w.flush(i)
		w.tellWant(m, i)
	})
}

// tellWant corrects what an agent knows of the entry's waiting tasks.
func (w *world) tellWant(m *machine, i int) {
	if want := w.entries[i].Want(w.now, m.id); (want.Demand.CPU > 0) != w.told[told{m.id, i}] {
		w.sendWant(m, i)
	}
}

func (w *world) sendWant(m *machine, i int) {
	want := w.entries[i].Want(w.now, m.id)
	w.told[told{m.id, i}] = want.Demand.CPU > 0
	w.frames[i]++
	w.after(w.oneWay, func() { w.want(m, i, want) })
}

func (w *world) want(m *machine, i int, want Want) {
	m.offers.Want(w.now, ownerOf(i), want.Urgency, want.Demand)
	w.tell(m, map[int][]run.Event{})
}

// tell gives the entries their events, and tells those that have a new offer.
func (w *world) tell(m *machine, events map[int][]run.Event) {
	offered := map[string]bool{}
	for _, name := range m.offers.Next(w.now, m.free()) {
		offered[name] = true
	}
	for _, i := range m.sessions {
		if list, ok := events[i]; ok || offered[ownerOf(i)] {
			w.reportTo(m, i, list)
		}
	}
}

// told names what an agent was told by an entry.
type told struct {
	agent string
	entry int
}

// flush hands out what an entry has decided.
func (w *world) flush(i int) {
	outcomes, batches := w.entries[i].Take()
	for _, o := range outcomes {
		w.outcome(o)
	}
	for _, b := range batches {
		m := w.byID[b.Agent]
		want := w.entries[i].Want(w.now, m.id)
		w.told[told{m.id, i}] = want.Demand.CPU > 0
		w.frames[i]++
		w.after(w.oneWay, func() {
			m.offers.Want(w.now, ownerOf(i), want.Urgency, want.Demand)
			w.receive(m, i, b)
		})
	}
}

func (w *world) receive(m *machine, i int, b Batch) {
	if m.dead {
		return
	}
	m.acked[i] = b.Seq
	var refused []run.Event
	for _, o := range b.Orders {
		w.orders++
		if !o.Demand.Fits(m.freeFor(i, w.now)) {
			w.refused++
			refused = append(refused, run.Event{Ref: o.Ref, Kind: run.NotRun, Reason: result.NoFreeSlot})
			continue
		}
		m.offers.Use(ownerOf(i), o.Demand)
		r := &simRun{entry: i, cpu: o.Demand.CPU, work: w.taskWork[o.Ref.Task], at: w.now, begun: w.now}
		m.runs[o.Ref] = r
		w.schedule(m, o.Ref, r)
	}
	for _, ref := range b.Stops {
		w.after(10*time.Millisecond, func() {
			if r := m.runs[ref]; r != nil {
				w.tally.lost += m.progress(r, w.now) * r.work.Seconds() * float64(r.cpu) / 1000
				w.end(m, ref, run.Stopped)
			}
		})
	}
	w.tell(m, map[int][]run.Event{i: refused})
}

// schedule plans the end of a run at the machine's present speed.
func (w *world) schedule(m *machine, ref run.Ref, r *simRun) {
	if m.stall {
		return
	}
	rest := time.Duration((1 - r.done) * float64(r.work) * m.speed)
	at := r.at
	w.after(rest, func() {
		if m.runs[ref] != r || r.at != at {
			return
		}
		kind := run.Done
		if m.fails {
			kind = run.Failed
		}
		w.end(m, ref, kind)
	})
}

func (w *world) end(m *machine, ref run.Ref, kind run.Kind) {
	r := m.runs[ref]
	delete(m.runs, ref)
	if m.dead {
		return
	}
	w.tell(m, map[int][]run.Event{r.entry: {{Ref: ref, Kind: kind}}})
}

// change applies a trouble to a machine; runs go on at the new speed.
func (w *world) change(m *machine, do func(*machine)) {
	for _, r := range m.runs {
		r.done, r.at = m.progress(r, w.now), w.now
	}
	do(m)
	for _, ref := range m.refs() {
		w.schedule(m, ref, m.runs[ref])
	}
}

// traffic lets jobs arrive at the entries at the given processor load, as a share of the room at
// normal speed, for a while.
func (w *world) traffic(load float64, d time.Duration) {
	perJob, total := 0.0, 0.0
	for _, k := range w.kinds {
		perJob += k.share * float64(k.width) * k.work.Seconds() * taskCPU
		total += k.share
	}
	capacity := 0.0
	for _, m := range w.machines {
		capacity += float64(m.room)
	}
	rate := load * capacity / (perJob / total)
	for at := time.Duration(0); at < d; at += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second)) {
		w.after(at, func() { w.arrive(total) })
	}
}

// loseEntry takes the power of an entry. Agents stop its runs when it has been silent for 300 ms.
func (w *world) loseEntry(i int) {
	w.gone[i] = true
	w.after(300*time.Millisecond, func() {
		for _, m := range w.machines {
			for _, ref := range m.refs() {
				if m.runs[ref].entry == i {
					w.end(m, ref, run.Stopped)
				}
			}
		}
	})
}

// entry picks an entry that has power.
func (w *world) entry() int {
	for {
		i := w.rng.IntN(len(w.entries))
		if w.weights != nil {
			i = w.weighted()
		}
		if !w.gone[i] {
			return i
		}
	}
}

// weighted picks an entry by its share of the callers.
func (w *world) weighted() int {
	sum := 0.0
	for _, x := range w.weights {
		sum += x
	}
	pick := w.rng.Float64() * sum
	for i, x := range w.weights {
		if pick -= x; pick < 0 {
			return i
		}
	}
	return len(w.weights) - 1
}

func (w *world) arrive(total float64) {
	pick := w.rng.Float64() * total
	k := w.kinds[0]
	for _, k = range w.kinds {
		if pick -= k.share; pick < 0 {
			break
		}
	}
	w.n++
	id := fmt.Sprintf("%s%d", k.name, w.n)
	base := k.work.Seconds() * math.Exp(0.4*w.rng.NormFloat64()-0.08)
	estimate := base * math.Exp(0.4*w.rng.NormFloat64()-0.08)
	longest := 0.0
	for t := range k.width {
		work := base * (1 + 0.15*(2*w.rng.Float64()-1))
		longest = max(longest, work)
		w.taskWork[run.TaskName(id, 0, 0, t)] = time.Duration(work * float64(time.Second))
	}
	w.works[id], w.arrived[id], w.kindOf[id] = time.Duration(longest*float64(time.Second)), w.now, k
	i := w.entry()
	o, ok := w.entries[i].Submit(w.now, Job{
		ID: id, Arrived: w.now,
		Queue: route.Queue{Name: k.name, Service: w.serviceOfNext(), Attempts: 3, Stretch: 1.6, Latency: w.latency, Priority: k.priority},
		Steps: []Step{{Count: k.width, Demand: run.Demand{CPU: taskCPU, MemoryMB: 64}, Estimate: time.Duration(estimate * float64(time.Second))}},
	})
	if !ok {
		o.Job = id
		w.outcome(o)
		return
	}
	w.flush(i)
}

// serviceOfNext is the service of the next job.
func (w *world) serviceOfNext() string {
	if len(w.services) == 1 {
		return w.services[0]
	}
	return w.services[w.rng.IntN(len(w.services))]
}

// outcome judges a job as its caller does: an answer within the objective has its full worth, one
// within three objectives a part of it, a later one none.
func (w *world) outcome(o Outcome) {
	if w.byKind[w.kindOf[o.Job].name] == nil {
		w.byKind[w.kindOf[o.Job].name] = &tally{}
	}
	if at := w.arrived[o.Job]; at.Before(w.from) || !w.until.IsZero() && at.After(w.until) {
		return
	}
	for _, t := range []*tally{&w.tally, w.byKind[w.kindOf[o.Job].name]} {
		w.count(t, o)
	}
}

func (w *world) count(t *tally, o Outcome) {
	aim := time.Duration(1.6*float64(w.works[o.Job])) + w.latency
	took := w.now.Sub(w.arrived[o.Job])
	t.asked++
	switch {
	case o.Code == 0 && took <= aim:
		t.inAim++
	case o.Code == 0 && took <= 3*aim:
		t.late++
	case o.Code == 0:
		t.useless++
	case o.Effect == result.NotRun:
		t.rejected++
		if took > aim/4 {
			t.heldRejected++
		}
		if o.RetryAfter <= 0 {
			t.noAdvice++
		}
	default:
		t.failed++
	}
}

// ranges of speed on the two sites, as factors of the run time.
var (
	speedsOne = []float64{0.7, 0.7, 1.7}
	speedsTwo = []float64{0.55, 1.2, 1.2, 1.2}
)

// judge logs the figures and checks the part served within the objective against the stated least.
func (w *world) judge(name string, least float64) {
	w.t.Helper()
	w.t.Logf("%s: %s, %d of %d orders refused", name, w.tally, w.refused, w.orders)
	for k, t := range w.byKind {
		w.t.Logf("  %s: %s", k, t)
	}
	if got := w.tally.part(w.tally.inAim); got < least {
		w.t.Errorf("%s: %.3f within the objective, at least %.3f is stated", name, got, least)
	}
	if w.tally.noAdvice > 0 {
		w.t.Errorf("%s: %d rejections without advice when to come back", name, w.tally.noAdvice)
	}
}

// Guards against slow answers at the load of an ordinary day: docs/platform.md states 0.98 within the
// objective at 60% load.
func TestReplayOrdinaryLoad(t *testing.T) {
	for name, speeds := range map[string][]float64{"one": speedsOne, "two": speedsTwo} {
		w := newWorld(t, 1, 3, speeds)
		w.from = w.now.Add(2 * time.Second)
		w.traffic(0.6, 12*time.Second)
		w.run(16 * time.Second)
		w.judge(name, 0.98)
	}
}

// Guards against a burst in which everybody waits and nobody is served in time: docs/platform.md states
// that at 1.8 times the ordinary load at least 0.9 of what the room allows is served within the
// objective, and that nobody who is rejected waited long for it.
func TestReplayBurst(t *testing.T) {
	for name, speeds := range map[string][]float64{"one": speedsOne, "two": speedsTwo} {
		w := newWorld(t, 2, 3, speeds)
		w.traffic(0.72, 3*time.Second)
		w.run(3 * time.Second)
		w.from, w.until = w.now, w.now.Add(4*time.Second)
		w.traffic(1.3, 4*time.Second)
		w.run(4 * time.Second)
		w.traffic(0.5, 2*time.Second)
		w.run(4 * time.Second)
		w.judge(name, 0.9/1.3)
		if held := w.tally.heldRejected; held*4 > w.tally.rejected {
			t.Errorf("%s: %d of %d rejected jobs were held", name, held, w.tally.rejected)
		}
	}
}

// Guards against a loss of a failure domain that stops the others: docs/platform.md states 0.9 of what
// the rest allows. The rest has 8 of 12.5 parts of the room, for a load of 0.8.
func TestReplayDomainLost(t *testing.T) {
	w := newWorld(t, 3, 3, speedsOne)
	w.traffic(0.8, 3*time.Second)
	w.run(3 * time.Second)
	for _, m := range w.machines[:4] {
		m.dead = true
		for _, s := range w.entries {
			s.AgentDown(m.id)
		}
	}
	w.from, w.until = w.now.Add(time.Second), w.now.Add(5*time.Second)
	w.traffic(0.8, 6*time.Second)
	w.run(9 * time.Second)
	w.judge("domain lost", 0.9*(8/12.5)/0.8)
}

// Guards against slow, stalling and failing backend servers that take callers' jobs with them:
// docs/platform.md states 0.9 within the objective when three of eleven are bad at half load, from one
// second after they turned bad.
func TestReplayBadServers(t *testing.T) {
	troubles := map[string]func(*machine){
		"slow":    func(m *machine) { m.speed *= 6.5 },
		"stall":   func(m *machine) { m.stall = true },
		"failing": func(m *machine) { m.fails = true },
	}
	for name, trouble := range troubles {
		w := newWorld(t, 4, 3, speedsOne)
		w.traffic(0.5, 3*time.Second)
		w.run(3 * time.Second)
		for _, m := range w.machines[:3] {
			w.change(m, trouble)
		}
		w.from, w.until = w.now.Add(time.Second), w.now.Add(6*time.Second)
		w.traffic(0.5, 6*time.Second)
		w.run(10 * time.Second)
		w.judge(name, 0.9)
	}
}

// Guards against room on slow backend servers that takes tasks which cannot end in time there, while the
// rest is full: docs/platform.md states 0.9 of what the rest allows. The slow ones have 3.5 of 12.5 parts
// of the room and do a sixth of their work.
func TestReplaySlowServersUnderLoad(t *testing.T) {
	w := newWorld(t, 5, 3, speedsOne)
	w.traffic(0.7, 3*time.Second)
	w.run(3 * time.Second)
	for _, m := range w.machines[:3] {
		w.change(m, func(m *machine) { m.speed *= 6.5 })
	}
	w.from, w.until = w.now.Add(time.Second), w.now.Add(6*time.Second)
	w.traffic(0.85, 6*time.Second)
	w.run(6 * time.Second)
	for _, m := range w.machines[:3] {
		w.change(m, func(m *machine) { m.speed /= 6.5 })
	}
	w.run(4 * time.Second)
	w.judge("slow under load", 0.9*(9+3.5/6.5)/12.5/0.85)
	back := *w
	back.tally, back.byKind, back.from, back.until = tally{}, map[string]*tally{}, w.now.Add(time.Second), time.Time{}
	*w = back
	w.traffic(0.6, 4*time.Second)
	w.run(8 * time.Second)
	w.judge("after recovery", 0.98)
}

// Guards against room that is held for an entry which has lost its power while its tasks waited: on a day
// with that and a high load the others served an eighth of their callers for two seconds. docs/platform.md
// states 0.9 of what the room allows, from 0.5 s after the loss.
func TestReplayEntryLost(t *testing.T) {
	w := newWorld(t, 6, 3, speedsOne)
	w.traffic(1.2, 2*time.Second)
	w.run(2 * time.Second)
	w.loseEntry(0)
	w.from, w.until = w.now.Add(500*time.Millisecond), w.now.Add(3*time.Second)
	w.traffic(0.9, 4*time.Second)
	w.run(7 * time.Second)
	w.judge("entry lost", 0.9)
}

// Guards against jobs that have begun and are given up, because jobs that can still be on time keep coming
// before their last tasks: docs/platform.md states that a burst fails none of which something has run. Before,
// four in a thousand ended so in bursts of 1.8 and 3.6 times the room.
func TestReplayBegunJobsAreFinishedInABurst(t *testing.T) {
	for load, span := range map[float64]time.Duration{1.8: 6 * time.Second, 3.6: time.Second} {
		for seed := uint64(1); seed <= 3; seed++ {
			w := newWorld(t, seed, 3, speedsOne)
			w.traffic(0.6, 2*time.Second)
			w.run(2 * time.Second)
			w.from, w.until = w.now, w.now.Add(span)
			w.traffic(load, span)
			w.run(span)
			w.traffic(0.6, 3*time.Second)
			w.run(6 * time.Second)
			t.Logf("load %.1f, seed %d: %s", load, seed, w.tally)
			if w.tally.failed > 0 {
				t.Errorf("load %.1f, seed %d: %d jobs that had begun failed", load, seed, w.tally.failed)
			}
		}
	}
}
