package testbed

import (
	"strings"
	"testing"
)

// Guards against evidence about a stall that leaves out sockets with waiting bytes or names those of other processes.
func TestSocketsOfAProcess(t *testing.T) {
	const table = `  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0A063A7F:1B58 0B063A7F:9C41 01 00000005:00000007 01:00000014 00000002     0        0 1 1 0 20 4 30 10 -1
   1: 0A063A7F:1B5A 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 2 1 0 100 0 0 10 0
   2: 0B063A7F:1B58 0A063A7F:9C41 01 00000005:00000000 00:00000000 00000000     0        0 3 1 0 20 4 30 10 -1
`
	want := "127.58.6.10:7000 to 127.58.6.11:40001 state 01 queues 00000005:00000007 retransmits 00000002\n1 sockets with empty queues\n"
	if got := describeSockets(table, "127.58.6.10"); got != want {
		t.Errorf("sockets: %q, want %q", got, want)
	}
}

// Guards against evidence that has no run time, or the wrong state, of a process that runs.
func TestEvidenceOfARunningProcess(t *testing.T) {
	e := ReadEvidence("self")
	if !strings.Contains("RS", e.State) || e.Ran <= 0 {
		t.Errorf("evidence %+v", e)
	}
	if e := ReadEvidence("0"); e.State != "?" {
		t.Errorf("evidence about a process that does not exist: %+v", e)
	}
}
