package fence

import (
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/table"
)

// Adopt takes over a newer entry table. It returns false for one that is not newer.
func (f *Fence) Adopt(t *peerv1.EntryTable) bool {
	if t.GetVersion() <= f.table.GetVersion() {
		return false
	}
	f.table = t
	f.newest = max(f.newest, t.GetVersion())
	members := make(map[string]bool, len(t.GetMembers()))
	for _, m := range t.GetMembers() {
		members[m.GetIncarnation()] = f.acked[m.GetIncarnation()]
	}
	f.acked = members
	return true
}

// Table returns the newest entry table that the agent holds; nil if none.
func (f *Fence) Table() *peerv1.EntryTable { return f.table }

// NewestTable returns the newest table version that any message carried. Starts
// decided on older versions are refused.
func (f *Fence) NewestTable() uint64 { return f.newest }

// Acknowledge notes that a member of the table, by its incarnation, has answered
// a report of this agent incarnation.
func (f *Fence) Acknowledge(incarnation string) {
	if _, member := f.acked[incarnation]; member {
		f.acked[incarnation] = true
	}
}

// Acknowledged tells whether the agent holds the newest table it has heard of
// and every member has acknowledged a report. Until then a claimant might not
// know of the agent, so it grants no start.
func (f *Fence) Acknowledged() bool {
	if f.table.GetVersion() == 0 || f.table.GetVersion() < f.newest {
		return false
	}
	for _, ok := range f.acked {
		if !ok {
			return false
		}
	}
	return true
}

// Configure takes over a newer configuration. It returns false for one that is not newer.
func (f *Fence) Configure(r *apiv1.ConfigRecord) bool {
	if r.GetVersion() <= f.config.GetVersion() {
		return false
	}
	f.config = r
	f.kinds = make(map[kindName]kindLimits)
	for _, s := range r.GetConfig().GetServices() {
		for _, k := range s.GetKinds() {
			f.kinds[kindName{s.GetName(), k.GetName()}] = kindLimits{slots: k.GetSlots(), timeLimit: k.GetTimeLimit().AsDuration()}
		}
	}
	f.out = make(map[string]bool)
	for _, s := range r.GetConfig().GetServers() {
		f.out[s.GetServer()] = s.GetOut()
	}
	f.away = false
	for _, d := range r.GetConfig().GetDomains() {
		if d.GetName() == f.o.Domain {
			f.away = d.GetOut()
		}
	}
	return true
}

// ConfigVersion returns the version of the configuration in force; 0 if none is known.
func (f *Fence) ConfigVersion() uint64 { return f.config.GetVersion() }

// Claimed is a start record as a claim returns it.
type Claimed struct {
	Task    Task
	Hash    []byte
	Running bool
	// Held says that the outcome is still kept.
	Held bool
}

// Claim adopts the table if it is newer and returns all records whose home in
// it is the claimant. Starts decided on older table versions are refused from then on.
func (f *Fence) Claim(t *peerv1.EntryTable, home string) []Claimed {
	f.Adopt(t)
	var all []Claimed
	for task, r := range f.records.byTask {
		if table.Home(t, task.Key).GetId() == home {
			all = append(all, Claimed{Task: task, Hash: []byte(r.hash), Running: r.running, Held: r.outcome != nil})
		}
	}
	return all
}

// AcknowledgedBy tells whether the member with that incarnation has acknowledged a report.
func (f *Fence) AcknowledgedBy(incarnation string) bool { return f.acked[incarnation] }

// Records returns the number of start records.
func (f *Fence) Records() int { return len(f.records.byTask) }

// ResultBytes returns the approximate memory of the kept outcomes.
func (f *Fence) ResultBytes() int64 { return f.records.bytes }
