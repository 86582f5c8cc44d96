package agent

import (
	"cmp"
	"slices"
)

// Status is the state of an agent as shown to operators.
type Status struct {
	ID            string         `json:"id"`
	Incarnation   string         `json:"incarnation"`
	Domain        string         `json:"domain"`
	StartedUnixMS int64          `json:"started_unix_ms"`
	ConfigVersion uint64         `json:"config_version"`
	TableVersion  uint64         `json:"table_version"`
	NewestTable   uint64         `json:"newest_table"`
	Acknowledged  bool           `json:"acknowledged"`
	Draining      bool           `json:"draining"`
	Running       int            `json:"running"`
	Waiting       int            `json:"waiting"`
	Records       int            `json:"records"`
	ResultBytes   int64          `json:"result_bytes"`
	Servers       []ServerStatus `json:"servers"`
	Entries       []EntryStatus  `json:"entries"`
}

// ServerStatus is the state of an announced backend server.
type ServerStatus struct {
	Name        string   `json:"name"`
	Instance    string   `json:"instance"`
	Service     string   `json:"service"`
	Kinds       []string `json:"kinds"`
	Address     string   `json:"address"`
	Slots       uint32   `json:"slots"`
	FreeSlots   uint32   `json:"free_slots"`
	Connections uint32   `json:"connections"`
	Leaving     bool     `json:"leaving"`
}

// EntryStatus is the state of the contact with an entry.
type EntryStatus struct {
	// ID is empty for an address from the settings that is not in the entry table.
	ID        string `json:"id"`
	Address   string `json:"address"`
	Reachable bool   `json:"reachable"`
}

// Status returns the current state of the agent.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	s := Status{
		ID:            a.opts.Settings.Node.ID,
		Incarnation:   a.incarnation,
		Domain:        a.opts.Settings.Node.Domain,
		StartedUnixMS: a.started.UnixMilli(),
		ConfigVersion: a.fence.ConfigVersion(),
		TableVersion:  a.fence.Table().GetVersion(),
		NewestTable:   a.fence.NewestTable(),
		Acknowledged:  a.fence.FullyAcknowledged(),
		Draining:      a.fence.Draining(),
		Running:       len(a.runs),
		Waiting:       a.waitingCalls,
		Records:       a.fence.Records(),
		ResultBytes:   a.fence.ResultBytes(),
	}
	for _, v := range a.fence.Servers(now) {
		s.Servers = append(s.Servers, ServerStatus{Name: v.Server, Instance: v.Instance, Service: v.Service, Kinds: v.Kinds,
			Address: v.Address, Slots: v.Slots, FreeSlots: v.FreeSlots, Connections: v.Connections, Leaving: v.Leaving})
	}
	for _, r := range a.reporters {
		s.Entries = append(s.Entries, EntryStatus{ID: r.member.GetId(), Address: r.address, Reachable: r.reachable})
	}
	slices.SortFunc(s.Entries, func(a, b EntryStatus) int { return cmp.Compare(a.Address, b.Address) })
	return s
}
