package jobs_test

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// callOutcome is how a call to the backend server ended for the agent.
type callOutcome int

const (
	callAnswered callOutcome = iota
	callTimedOut
	callBroken
)

// call calls the backend server. carryOut is called there with a function that responds, possibly long after the call
// has ended for the agent; then is called once at the agent.
func (a *agentModel) call(latePercent int, timeout time.Duration, carryOut func(respond func(any)), then func(callOutcome, any)) {
	w := a.w
	stream := new(int)
	sent := w.now
	ended := false
	end := func(o callOutcome, v any) {
		if !ended {
			ended = true
			a.do(stream, func() { then(o, v) })
		}
	}
	w.after(timeout, func() { end(callTimedOut, nil) })
	respond := func(v any) {
		w.after(w.between(100*time.Microsecond, time.Millisecond), func() {
			if a.resetBefore.After(sent) {
				end(callBroken, nil)
				return
			}
			end(callAnswered, v)
		})
	}
	travel := w.between(100*time.Microsecond, time.Millisecond)
	if w.random.IntN(100) < max(latePercent, a.lateCalls) {
		late := w.between(time.Millisecond, 300*time.Millisecond)
		if w.random.IntN(2) == 0 {
			late = w.between(2*time.Second, modelLongestLateCall)
		}
		w.counts["late calls"]++
		w.after(late, func() { carryOut(func(any) {}) })
		return
	}
	w.after(travel, func() { carryOut(respond) })
}

// startCall is an order that is being sent to the backend server.
type startCall struct {
	ref                   run.Ref
	sent, received, limit int
	done                  bool
	deadline              time.Time
}

// startAnswer is the response of the backend server to a start.
type startAnswer struct {
	clockMS int64
	refused result.Code
}

func (a *agentModel) startRun(ref run.Ref) {
	now := a.w.now
	c := &startCall{ref: ref, limit: modelMaxCopies, deadline: now.Add(a.table.NextExpiry(now, modelAgentLimits.OrderExpiry) + modelStartMargin)}
	resendAfter := a.table.ResendDelay()
	if !a.sendCopy(c) {
		return
	}
	var again func()
	again = func() {
		if c.done || a.w.now.After(c.deadline.Add(time.Second)) {
			return
		}
		a.do(c, func() {
			if !c.done {
				a.resend(c)
			}
		})
		a.w.after(resendAfter, again)
	}
	a.w.after(resendAfter, again)
}

func (a *agentModel) resend(c *startCall) {
	if c.sent < c.limit && a.sendCopy(c) {
		return
	}
	c.limit = c.sent
}

func (a *agentModel) sendCopy(c *startCall) bool {
	now := a.w.now
	if !a.table.SendCopy(now, c.ref) {
		return false
	}
	c.sent++
	expiry := a.table.Expiry(c.ref)
	a.call(a.lateStarts, c.deadline.Sub(now), func(respond func(any)) { respond(a.backend.start(c.ref, expiry)) }, func(o callOutcome, v any) {
		answer, _ := v.(startAnswer)
		a.table.CopyReturned(a.w.now, c.ref, o == callAnswered)
		// Another goroutine takes the response and may come later than others.
		a.w.after(a.w.handOver(), func() { a.do(c, func() { a.copyReturned(c, o, answer, a.w.now.Sub(now)) }) })
	})
	return true
}

// copyReturned is what awaitStart and handleStartResponse of daemon/runagent do with a response.
func (a *agentModel) copyReturned(c *startCall, o callOutcome, v startAnswer, took time.Duration) {
	c.received++
	if c.done {
		return
	}
	switch {
	case o == callAnswered && v.refused == 0:
		c.done = true
		a.table.Accepted(a.w.now, took, c.ref, v.clockMS)
		return
	case c.sent == 1 && o == callAnswered:
		c.done = true
		a.deliver(a.table.Rejected(a.w.now, c.ref, v.refused))
		return
	case c.sent == 1 && o == callTimedOut:
		c.done = true
		return
	case o == callBroken:
		a.resend(c)
	}
	if c.received == c.sent {
		c.done = true
	}
}

func (a *agentModel) stopRun(ref run.Ref) {
	now := a.w.now
	if sent, ok := a.stops[ref]; ok && now.Sub(sent) < modelStopTimeout && !a.table.SentToFormer(sent) {
		return
	}
	a.stops[ref] = now
	a.w.logf("%s stops %v", a.name, ref)
	a.call(0, modelStopTimeout, func(respond func(any)) {
		a.backend.stop(ref)
		respond(nil)
	}, func(o callOutcome, _ any) {
		if o == callAnswered {
			a.table.StopAnswered(a.w.now, ref, now)
		}
	})
}

// poll sends a poll.
func (a *agentModel) poll() {
	now := a.w.now
	a.polls++
	a.inFlight++
	a.newestPoll = a.polls
	number := a.polls
	lease, last, wait := a.table.RenewLease(now), a.table.LastEnd(), a.pollWait()
	a.call(0, wait+modelPollMargin, func(respond func(any)) {
		a.backend.hold(lease, last, wait, respond)
	}, func(o callOutcome, v any) { a.pollReturned(number, now, lease, o, v) })
	overdue := func() {
		if a.newestPoll != number {
			return
		}
		a.do(a, func() {
			if a.newestPoll != number {
				return
			}
			a.lastLoss = a.w.now
			if a.inFlight < modelMaxPolls {
				a.poll()
			}
		})
	}
	a.w.after(wait+modelPollOverdue, overdue)
}

func (a *agentModel) pollWait() time.Duration {
	now := a.w.now
	if a.consecutiveFailures > 0 || !a.table.Responding(now) {
		return 0
	}
	wait := modelIdlePoll
	if a.table.Len() > 0 {
		wait = modelBusyPoll
	}
	wait = a.table.NextExpiry(now, wait)
	if now.Sub(a.lastLoss) < modelLossyPeriod || a.table.HasUnsettled() {
		wait = min(wait, modelLossyPoll)
	}
	return wait.Truncate(time.Millisecond)
}

func (a *agentModel) pollReturned(number int, sentAt time.Time, lease int64, o callOutcome, v any) {
	a.inFlight--
	a.table.RenewalDone(lease, true)
	if o == callAnswered {
		a.consecutiveFailures = 0
		snapshot := v.(runtable.Snapshot)
		snapshot.Requested = sentAt
		settled := a.table.CanAnswerClaims(a.w.now)
		a.deliver(a.table.ApplySnapshot(a.w.now, snapshot))
		for _, r := range a.table.TakeUnexpectedRuns() {
			a.w.logf("%s unexpected run %+v", a.name, r)
			a.w.counts["unexpected runs"]++
		}
		if !settled {
			a.sendStateToAll()
		}
	} else {
		a.lastLoss = a.w.now
		a.consecutiveFailures++
	}
	if number != a.newestPoll {
		return
	}
	a.newestPoll = 0
	delay := time.Duration(0)
	if a.consecutiveFailures > 1 {
		delay = modelPollRetry
	}
	a.w.after(delay, func() { a.do(a, a.poll) })
}
