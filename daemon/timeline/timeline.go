package timeline

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/result"
)

// Second is what happened within one second, over all entries whose logs were read.
type Second struct {
	At time.Time `json:"at"`
	// Offered are jobs that came, Served those that were answered with success, Late those of them that were
	// answered after their objective.
	Offered int `json:"offered"`
	Served  int `json:"served"`
	Late    int `json:"late"`
	// Ended are the other answers by result code.
	Ended result.Counts `json:"ended"`
	// Abandoned are jobs whose callers left, Unanswered orders without an answer of the backend server.
	Abandoned  int `json:"abandoned"`
	Unanswered int `json:"unanswered"`
	// Waiting and Runs are the tasks at the end of the second.
	Waiting int `json:"waiting"`
	Runs    int `json:"runs"`
	// FreeShare is the least share of the processor room that an entry saw free.
	FreeShare float64 `json:"free_share"`
	// Servers is the largest number of backend servers that an entry could use.
	Servers int `json:"servers"`
	// Entries is the number of entries that had something to do.
	Entries int `json:"entries"`

	entries map[string]bool
	roomed  bool
}

// addEntry notes that the entry had something to do.
func (s *Second) addEntry(process string) {
	s.entries[process] = true
	s.Entries = len(s.entries)
}

func (s *Second) addRoom(free, room int64) {
	if room <= 0 {
		return
	}
	share := float64(free) / float64(room)
	if !s.roomed || share < s.FreeShare {
		s.FreeShare = share
	}
	s.roomed = true
}

// Change is an event that changed what callers got.
type Change struct {
	At      time.Time
	Process string
	Event   event.ID
	// Detail are the fields that tell what changed, as "name=value".
	Detail string
}

// changeFields are the events that count as changes, with the fields that are shown.
var changeFields = map[event.ID][]string{
	event.Started: {"role", "zone"}, event.Stopping: {}, event.Stopped: {}, event.ServerStateChanged: {"state", "instance"},
	event.ServerGone: {"instance"}, event.ServerReachable: {}, event.ServerUnreachable: {}, event.RoutesChanged: {"version"},
	event.DomainsChanged: {"out"}, event.StoreLost: {}, event.StoreRegained: {}, event.ReadinessChanged: {"ready"},
	event.Paused: {"ms"}, event.AgentLost: {"agent"}, event.ServerSuspended: {"agent"}, event.EntryLeft: {"jobs"},
	event.ProcessorShort: {"short"}, event.LinkLost: {"agent", "reason"},
}

// change adds a change. The event of a start tells the ID of the process.
func (r *Reader) change(process *string, id event.ID, l line) error {
	names, ok := changeFields[id]
	if !ok {
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(l.Fields, &fields); err != nil {
		return fmt.Errorf("event %d: %w", id, err)
	}
	if id == event.Started {
		var name string
		if json.Unmarshal(fields["id"], &name) == nil && name != "" {
			*process = name
		}
	}
	var detail []string
	for _, name := range names {
		if value, ok := fields[name]; ok {
			detail = append(detail, name+"="+strings.Trim(string(value), `"`))
		}
	}
	r.changes = append(r.changes, Change{At: l.Timestamp, Process: *process, Event: id, Detail: strings.Join(detail, " ")})
	return nil
}

func (r *Reader) second(at time.Time) *Second {
	key := at.Unix()
	s := r.seconds[key]
	if s == nil {
		s = &Second{At: time.Unix(key, 0).UTC(), Ended: result.Counts{}, entries: map[string]bool{}}
		r.seconds[key] = s
	}
	return s
}

// Timeline is what the logs show, in the order of time.
type Timeline struct {
	Seconds []Row    `json:"seconds"`
	Lines   int      `json:"lines"`
	Bad     int      `json:"bad_lines"`
	LeftOut int      `json:"left_out_lines"`
	Named   []string `json:"named_bad_lines"`
}

// Row is one second with the changes in it.
type Row struct {
	Second
	Changes []Group `json:"changes"`
}

// Group is changes of one kind within a second.
type Group struct {
	Event     event.ID `json:"event"`
	Text      string   `json:"text"`
	Count     int      `json:"count"`
	Processes []string `json:"processes"`
	// Detail is that of the first of them.
	Detail string `json:"detail"`
}

// Timeline returns what was read so far.
func (r *Reader) Timeline() *Timeline {
	groups := map[int64]map[event.ID]*Group{}
	slices.SortStableFunc(r.changes, func(a, b Change) int { return a.At.Compare(b.At) })
	for _, c := range r.changes {
		r.second(c.At)
		key := c.At.Unix()
		if groups[key] == nil {
			groups[key] = map[event.ID]*Group{}
		}
		groups[key][c.Event] = groups[key][c.Event].with(c)
	}
	t := &Timeline{Lines: r.Lines, Bad: r.Bad, LeftOut: r.LeftOut, Named: r.Named}
	for key, s := range r.seconds {
		row := Row{Second: *s}
		for _, g := range groups[key] {
			row.Changes = append(row.Changes, *g)
		}
		slices.SortFunc(row.Changes, func(a, b Group) int { return cmp.Compare(a.Event, b.Event) })
		t.Seconds = append(t.Seconds, row)
	}
	slices.SortFunc(t.Seconds, func(a, b Row) int { return a.At.Compare(b.At) })
	return t
}

// with adds a change to the group, which may be nil.
func (g *Group) with(c Change) *Group {
	if g == nil {
		g = &Group{Event: c.Event, Text: event.Text(c.Event), Detail: c.Detail}
	}
	g.Count++
	if !slices.Contains(g.Processes, c.Process) {
		g.Processes = append(g.Processes, c.Process)
	}
	return g
}

// Answers is the number of jobs that were answered without success.
func (s *Second) Answers() int {
	n := 0
	for _, count := range s.Ended {
		n += count
	}
	return n
}

// Between returns the seconds from one time to another; a zero time is no bound.
func (t *Timeline) Between(from, to time.Time) *Timeline {
	part := *t
	part.Seconds = nil
	for _, s := range t.Seconds {
		if !s.At.Before(from) && (to.IsZero() || !s.At.After(to)) {
			part.Seconds = append(part.Seconds, s)
		}
	}
	return &part
}

// maxShown bounds the processes that a text names.
const maxShown = 3

// String returns the group as a text for a table.
func (g Group) String() string {
	shown := strings.Join(g.Processes[:min(maxShown, len(g.Processes))], ", ")
	if more := len(g.Processes) - maxShown; more > 0 {
		shown += fmt.Sprintf(" and %d more", more)
	}
	text := fmt.Sprintf("%d %s: %s", g.Event, g.Text, shown)
	if g.Count > len(g.Processes) {
		text += fmt.Sprintf(" (%d times)", g.Count)
	}
	if g.Detail != "" {
		text += " [" + g.Detail + "]"
	}
	return text
}
