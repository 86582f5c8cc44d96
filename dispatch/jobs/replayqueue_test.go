package jobs

import (
	"container/heap"
	"time"
)

// simEvent is an action at a simulated time. Events with equal times happen in the order of n.
type simEvent struct {
	at time.Time
	n  int
	do func()
}

// simQueue is a heap of events, ordered by time and n.
type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].n < q[j].n
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// after schedules an action.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.lastID++
	heap.Push(&sim.queue, simEvent{sim.now.Add(d), sim.lastID, do})
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(simEvent)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}
