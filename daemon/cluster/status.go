package cluster

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/member"
)

// FillStatus sets the fields of r that concern the cluster: entry, the versions, synced, fresh,
// store_reachable and entries.
func (c *Cluster) FillStatus(r *poplargwv1.GetStatusResponse) {
	s := c.snapshot.Load()
	r.Entry = c.opts.Settings.Node.ID
	r.ConfigVersion, r.TableVersion = s.config.GetVersion(), s.table.GetVersion()
	r.Synced, r.Fresh = s.synced, c.Fresh(time.Now())
	r.Entries = nil
	c.inspect(func(st *member.State, now time.Time) {
		r.StoreReachable = st.StoreReachable()
		for _, m := range s.table.GetMembers() {
			e := &poplargwv1.EntryStatus{Id: m.GetId(), Address: m.GetAddress(), Operators: m.GetOperators()}
			if m.GetId() == r.Entry {
				e.ConfigVersion, e.LastContact = r.ConfigVersion, durationpb.New(0)
			} else if a, contact := st.Peer(m.GetId()); !contact.IsZero() {
				e.ConfigVersion, e.LastContact = a.Config, durationpb.New(now.Sub(contact))
			}
			r.Entries = append(r.Entries, e)
		}
	})
}
