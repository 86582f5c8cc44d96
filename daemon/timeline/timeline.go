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

// Second holds the counts of one second over all entries whose logs were read.
type Second struct {
	At time.Time `json:"at"`
	// Offered counts the jobs that arrived, Served those that succeeded, Late the jobs in Served whose response
	// time was above their objective.
	Offered int `json:"offered"`
	Served  int `json:"served"`
	Late    int `json:"late"`
	// Ended counts the unsuccessful answers by result code.
	Ended result.Counts `json:"ended"`
	// Abandoned counts jobs whose callers left, Unanswered orders that expired without an answer of the backend
	// server.
	Abandoned  int `json:"abandoned"`
	Unanswered int `json:"unanswered"`
	// Waiting counts the queued tasks and Runs the runs of tasks, both at the end of the second.
	Waiting int `json:"waiting"`
	Runs    int `json:"runs"`
	// FreeShare is the lowest free share of the processor capacity, from 0 to 1, that an entry reported.
	FreeShare float64 `json:"free_share"`
	// Servers is the largest number of backend servers that an entry could use.
	Servers int `json:"servers"`
	// Entries is the number of entries that reported counts. An entry to which nothing happened reports none.
	Entries int `json:"entries"`

	entries      map[string]bool
	hasFreeShare bool
}

// addEntry adds an entry that reported counts.
func (s *Second) addEntry(process string) {
	s.entries[process] = true
	s.Entries = len(s.entries)
}

// addFreeShare lowers FreeShare to free/capacity if that is less. An entry without capacity is skipped.
func (s *Second) addFreeShare(free, capacity int64) {
	if capacity <= 0 {
		return
	}
	share := float64(free) / float64(capacity)
	if !s.hasFreeShare || share < s.FreeShare {
		s.FreeShare = share
	}
	s.hasFreeShare = true
}

// Change is an event, such as a restart, that may change the outcome of jobs.
type Change struct {
	At      time.Time
	Process string
	Event   event.ID
	// Detail holds the fields that tell what changed, as "name=value" separated by spaces.
	Detail string
}

// changeFields maps each event that counts as a change to the fields that are shown.
var changeFields = map[event.ID][]string{
	event.Started: {"role", "zone"}, event.Stopping: {}, event.Stopped: {}, event.ServerStateChanged: {"state", "instance"},
	event.ServerLeft: {"instance"}, event.ServerReachable: {}, event.ServerUnreachable: {}, event.RoutesChanged: {"version"},
	event.DomainsChanged: {"out"}, event.PlatformStoreUnreachable: {}, event.PlatformStoreReachable: {}, event.ReadinessChanged: {"ready"},
	event.ProcessPaused: {"ms"}, event.AgentLost: {"agent", "runs"}, event.ServerSuspended: {"agent"}, event.EntryLeft: {"jobs"},
	event.ProcessorShort: {"short"}, event.LinkLost: {"agent", "reason"}, event.EndedRunListed: {"task", "run", "basis"},
}

// addChange adds an event if it counts as a change. event.Started sets *process to the ID of the process.
func (r *Reader) addChange(process *string, id event.ID, l line) error {
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

// secondAt returns the second that contains a time and creates it if necessary.
func (r *Reader) secondAt(at time.Time) *Second {
	key := at.Unix()
	s := r.seconds[key]
	if s == nil {
		s = &Second{At: time.Unix(key, 0).UTC(), Ended: result.Counts{}, entries: map[string]bool{}}
		r.seconds[key] = s
	}
	return s
}

// Timeline is the summary of all logs in chronological order. The other fields are those of Reader.
type Timeline struct {
	Seconds []Row    `json:"seconds"`
	Lines   int      `json:"lines"`
	Bad     int      `json:"bad_lines"`
	LeftOut int      `json:"left_out_lines"`
	Named   []string `json:"named_bad_lines"`
}

// Row is one second with its changes, grouped by event.
type Row struct {
	Second
	Changes []ChangeGroup `json:"changes"`
}

// ChangeGroup combines the changes with the same event within one second.
type ChangeGroup struct {
	Event     event.ID `json:"event"`
	Text      string   `json:"text"`
	Count     int      `json:"count"`
	Processes []string `json:"processes"`
	// Detail is that of the first change.
	Detail string `json:"detail"`
}

// Timeline returns the summary of all logs read so far.
func (r *Reader) Timeline() *Timeline {
	groups := map[int64]map[event.ID]*ChangeGroup{}
	slices.SortStableFunc(r.changes, func(a, b Change) int { return a.At.Compare(b.At) })
	for _, c := range r.changes {
		r.secondAt(c.At)
		key := c.At.Unix()
		if groups[key] == nil {
			groups[key] = map[event.ID]*ChangeGroup{}
		}
		groups[key][c.Event] = groups[key][c.Event].add(c)
	}
	t := &Timeline{Lines: r.Lines, Bad: r.Bad, LeftOut: r.LeftOut, Named: r.Named}
	for key, s := range r.seconds {
		row := Row{Second: *s}
		for _, g := range groups[key] {
			row.Changes = append(row.Changes, *g)
		}
		slices.SortFunc(row.Changes, func(a, b ChangeGroup) int { return cmp.Compare(a.Event, b.Event) })
		t.Seconds = append(t.Seconds, row)
	}
	slices.SortFunc(t.Seconds, func(a, b Row) int { return a.At.Compare(b.At) })
	return t
}

// add adds a change to the group and returns it. A nil group is replaced by a new one.
func (g *ChangeGroup) add(c Change) *ChangeGroup {
	if g == nil {
		g = &ChangeGroup{Event: c.Event, Text: event.Text(c.Event), Detail: c.Detail}
	}
	g.Count++
	if !slices.Contains(g.Processes, c.Process) {
		g.Processes = append(g.Processes, c.Process)
	}
	return g
}

// EndedTotal returns the number of jobs that were answered without success.
func (s *Second) EndedTotal() int {
	n := 0
	for _, count := range s.Ended {
		n += count
	}
	return n
}

// Between returns a copy of the timeline with only the seconds from from to to, both included. A zero time sets
// no bound.
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

// maxShownProcesses bounds how many processes a text names.
const maxShownProcesses = 3

// String formats the group as one line of a table.
func (g ChangeGroup) String() string {
	shown := strings.Join(g.Processes[:min(maxShownProcesses, len(g.Processes))], ", ")
	if more := len(g.Processes) - maxShownProcesses; more > 0 {
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
