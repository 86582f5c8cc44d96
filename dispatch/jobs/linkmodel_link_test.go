package jobs_test

import "time"

// linkModel is a connection between an entry and an agent. Each direction delivers in order.
type linkModel struct {
	w       *linkWorld
	ends    [2]linkEnd // the entry's and the agent's
	held    time.Time  // nothing is delivered before
	silent  bool       // nothing is delivered any more
	delayMS int        // added to each message
}

const (
	entryEnd = 0
	agentEnd = 1
)

// linkEnd is one end of a link: its process, what to do when the link ends, and when the newest message to it arrives.
type linkEnd struct {
	process *process
	ended   func(reason string)
	lastDue time.Time
	closed  bool
}

// send delivers a message from one end to the other, unless the link ends before.
func (l *linkModel) send(from int, deliver func()) {
	if l.ends[from].closed {
		return
	}
	to := 1 - from
	l.arrive(to, l.w.between(200*time.Microsecond, 2*time.Millisecond)+time.Duration(l.delayMS)*time.Millisecond, func() {
		if !l.ends[to].closed {
			deliver()
		}
	})
}

// arrive schedules what happens at an end, after all that was scheduled there before.
func (l *linkModel) arrive(end int, delay time.Duration, call func()) {
	at := l.w.now.Add(delay)
	if l.ends[end].lastDue.After(at) {
		at = l.ends[end].lastDue.Add(time.Microsecond)
	}
	l.ends[end].lastDue = at
	l.w.after(at.Sub(l.w.now), func() { l.deliverHeld(end, call) })
}

// deliverHeld delivers to an end once the link is not held any more. Messages stay in order, because calls of the
// same time do.
func (l *linkModel) deliverHeld(end int, call func()) {
	switch {
	case l.silent:
	case l.w.now.Before(l.held):
		l.w.after(l.held.Sub(l.w.now), func() { l.deliverHeld(end, call) })
	default:
		l.ends[end].process.do(l, call)
	}
}

// close closes the link at one end. The other one gets what was sent before, and then the end of the link.
func (l *linkModel) close(end int) {
	if l.ends[end].closed {
		return
	}
	to := 1 - end
	l.arrive(to, time.Millisecond, func() { l.finish(to, "closed by the peer") })
	l.ends[end].closed = true
}

// finish records at an end that the link has ended.
func (l *linkModel) finish(end int, reason string) {
	if l.ends[end].closed {
		return
	}
	l.close(end)
	l.ends[end].ended(reason)
}

// disturb applies a fault to the link.
func (l *linkModel) disturb(f linkFaultModel) {
	d := time.Duration(f.ForMS) * time.Millisecond
	switch f.Kind {
	case "silent":
		l.silent = true
	case "hold":
		l.held = l.w.now.Add(d)
	case "delay":
		l.delayMS = f.SecondDelayMS / 8
		l.w.after(d, func() { l.delayMS = 0 })
	case "reset":
		l.reset(f)
	}
}

// reset resets the link: one end learns of it at once, the other one later. What is on its way is lost, or delivered
// before that.
func (l *linkModel) reset(f linkFaultModel) {
	first := l.w.random.IntN(2)
	if f.Lost {
		l.silent = true
	}
	for i, end := range []int{first, 1 - first} {
		delay := time.Duration(i*f.SecondDelayMS) * time.Millisecond
		l.w.after(delay, func() { l.ends[end].process.do(l, func() { l.finish(end, "reset") }) })
	}
}
