package fence

import (
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/table"
)

// AdoptTable replaces the entry table by a newer one and keeps the acknowledgements of the
// incarnations in both. It returns false for a table that is not newer.
func (f *Fence) AdoptTable(t *peerv1.EntryTable) bool {
	if t.GetVersion() <= f.table.GetVersion() {
		return false
	}
	f.table = t
	f.newestTable = max(f.newestTable, t.GetVersion())
	members := make(map[string]bool, len(t.GetMembers()))
	for _, m := range t.GetMembers() {
		members[m.GetIncarnation()] = f.acknowledged[m.GetIncarnation()]
	}
	f.acknowledged = members
	return true
}

// Table returns the newest entry table that the agent holds, or nil.
func (f *Fence) Table() *peerv1.EntryTable { return f.table }

// NewestTable returns the newest table version that any message carried. Starts that
// were placed by an older version are refused.
func (f *Fence) NewestTable() uint64 { return f.newestTable }

// Acknowledge notes that the member of the table with the given incarnation has
// answered a report of this incarnation of the agent.
func (f *Fence) Acknowledge(incarnation string) {
	if _, member := f.acknowledged[incarnation]; member {
		f.acknowledged[incarnation] = true
	}
}

// FullyAcknowledged reports whether the agent holds the newest table that any message
// carried and every member has acknowledged a report. Until then the agent grants no
// start: an entry that claims keys may not know of it and would miss its records.
func (f *Fence) FullyAcknowledged() bool {
	if f.table.GetVersion() == 0 || f.table.GetVersion() < f.newestTable {
		return false
	}
	for _, ok := range f.acknowledged {
		if !ok {
			return false
		}
	}
	return true
}

// Configure replaces the configuration by a newer one. It returns false for one that is not newer.
func (f *Fence) Configure(r *apiv1.ConfigRecord) bool {
	if r.GetVersion() <= f.config.GetVersion() {
		return false
	}
	f.config = r
	f.kinds = make(map[kindKey]kindLimits)
	for _, s := range r.GetConfig().GetServices() {
		for _, k := range s.GetKinds() {
			f.kinds[kindKey{s.GetName(), k.GetName()}] = kindLimits{slots: k.GetSlots(), timeLimit: k.GetTimeLimit().AsDuration()}
		}
	}
	f.serversOut = make(map[string]bool)
	for _, s := range r.GetConfig().GetServers() {
		f.serversOut[s.GetServer()] = s.GetOut()
	}
	f.domainOut = false
	for _, d := range r.GetConfig().GetDomains() {
		if d.GetName() == f.opts.Domain {
			f.domainOut = d.GetOut()
		}
	}
	return true
}

// ConfigVersion returns the version of the configuration in force; 0 if there is none.
func (f *Fence) ConfigVersion() uint64 { return f.config.GetVersion() }

// ClaimedRecord is a start record as Claim returns it.
type ClaimedRecord struct {
	Task    Task
	Hash    []byte
	Running bool
	// ResultHeld is set if the task has ended and its outcome is still kept.
	ResultHeld bool
}

// Claim adopts the table if it is newer and returns all start records of keys whose home in
// the given table is the entry with the ID home. Starts that were placed by an older table
// version are refused from then on.
func (f *Fence) Claim(t *peerv1.EntryTable, home string) []ClaimedRecord {
	f.AdoptTable(t)
	var all []ClaimedRecord
	for task, r := range f.records.byTask {
		if table.Home(t, task.Key).GetId() == home {
			all = append(all, ClaimedRecord{Task: task, Hash: []byte(r.hash), Running: r.running, ResultHeld: r.outcome != nil})
		}
	}
	return all
}

// AcknowledgedBy reports whether the member with the given incarnation has acknowledged a report.
func (f *Fence) AcknowledgedBy(incarnation string) bool { return f.acknowledged[incarnation] }

// Records returns the number of start records.
func (f *Fence) Records() int { return len(f.records.byTask) }

// ResultBytes returns the approximate memory of the kept outcomes, in bytes.
func (f *Fence) ResultBytes() int64 { return f.records.bytes }
