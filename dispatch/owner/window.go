package owner

import "time"

// RestoreWindow is Limits.RestoreWindow of all agents. Entries that own jobs by the record of an agent that has restarted dial
// again within 90 ms, and an attempt that was begun while its VM was down takes 250 ms at most.
const RestoreWindow = 350 * time.Millisecond
