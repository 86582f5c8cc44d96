package testbed

import poplargwv1 "poplargw.example/api/gen/poplargw/v1"

// KnownServers returns the number of backend servers in the status of an entry, 0 if status is nil.
func KnownServers(status *poplargwv1.GetStatusResponse) int {
	n := 0
	for _, a := range status.GetAgents() {
		n += len(a.GetServers())
	}
	return n
}
