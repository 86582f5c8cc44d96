package main

import "time"

// lossEntries is the number of entries at the start of measureLoss.
const lossEntries = 10

// measureLoss kills several of ten entries at once and measures the time until the remaining entries are
// ready and serve all keys. The size is the number of killed entries.
func measureLoss(o options) error {
	return measureRows(o, "Recovery by lost entries of ten", lossRow,
		"seconds until all remaining entries are ready", "CPU s of an entry")
}

// lossRow measures the loss of n entries and adds a row to the table.
func lossRow(o options, kind string, n int, t *resultTable) error {
	s, err := newSystem(o, kind, lossEntries)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.addStandIns(o.agents, 0); err != nil {
		return err
	}
	time.Sleep(settleTime)
	left := lossEntries - n
	cpu, begin := s.entries[0].cpu(), time.Now()
	for _, p := range s.entries[left:] {
		p.Kill()
	}
	err = s.eventually("the remaining entries serve all keys", func() bool {
		for e := range left {
			if s.knownEntries(e) != left {
				return false
			}
		}
		return s.allReady(s.entries[:left])
	})
	t.addRow(n, time.Since(begin).Seconds(), s.entries[0].cpu()-cpu)
	return err
}

// knownEntries returns the number of entries in the table of an entry, 0 if it does not answer.
func (s *system) knownEntries(entry int) int { return len(s.status(entry).GetEntries()) }
