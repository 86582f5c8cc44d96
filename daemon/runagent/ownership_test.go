package runagent

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
)

const (
	ownerTestLostAfter = 400 * time.Millisecond
	// answerLimit bounds the wait for an answer. It is long, so that tests pass on a busy machine.
	answerLimit = 20 * time.Second
)

// testEntry is an entry with a link to an agent, over which it sends a heartbeat every 20 ms.
type testEntry struct {
	t       *testing.T
	conn    *link.Conn
	answers chan *peerv1.JobAnswer
	// cancels are those that the agent passes on, cancelAnswers its answers to those of this entry.
	cancels       chan string
	cancelAnswers chan *peerv1.CancelAnswer
	stop          context.CancelFunc

	mu  sync.Mutex
	seq uint64
}

// startOwnerAgent runs an agent past its restore window and returns its address.
func startOwnerAgent(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := New(Options{
		ID: "a", Incarnation: "1", Backend: &fakeBackend{}, Limits: pollerLimits, OwnerLostAfter: ownerTestLostAfter,
		Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// dialOwnerAgent opens a link to the agent as the named entry.
func dialOwnerAgent(t *testing.T, addr, name string) *testEntry {
	t.Helper()
	return dialOwnerAgentWith(t, addr, name)
}

// dialOwnerAgentWith is dialOwnerAgent for an entry that owns jobs.
func dialOwnerAgentWith(t *testing.T, addr, name string, owned ...string) *testEntry {
	t.Helper()
	conn, err := link.Dial(t.Context(), addr, nil, answerLimit)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &testEntry{t: t, conn: conn, answers: make(chan *peerv1.JobAnswer, 16), stop: stop}
	e.cancels, e.cancelAnswers = make(chan string, 16), make(chan *peerv1.CancelAnswer, 16)
	t.Cleanup(func() { stop(); conn.Close() })
	e.send(&peerv1.EntryFrame{Hello: &peerv1.LinkHello{Id: name, Incarnation: "1"}, Owned: owned})
	go e.receive()
	go func() {
		for ctx.Err() == nil {
			e.send(&peerv1.EntryFrame{})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return e
}

func (e *testEntry) send(f *peerv1.EntryFrame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	f.Seq = e.seq
	e.conn.Send(f)
}

// receive passes on the answers until the link ends.
func (e *testEntry) receive() {
	for {
		var f peerv1.AgentFrame
		if e.conn.Receive(&f) != nil {
			return
		}
		for _, a := range f.GetAnswers() {
			e.answers <- a
		}
		for _, job := range f.GetCancels() {
			e.cancels <- job
		}
		for _, a := range f.GetCancelAnswers() {
			e.cancelAnswers <- a
		}
	}
}

func (e *testEntry) request(number uint64) {
	e.send(&peerv1.EntryFrame{Requests: []*peerv1.JobRequest{{Job: "j", Number: number}}})
}

// wantAnswer waits for the next answer and compares it.
func (e *testEntry) wantAnswer(number uint64, granted bool) {
	e.t.Helper()
	select {
	case a := <-e.answers:
		if a.GetJob() != "j" || a.GetNumber() != number || a.GetGranted() != granted {
			e.t.Fatalf("answer %v, want number %d, granted %t", a, number, granted)
		}
	case <-time.After(answerLimit):
		e.t.Fatal("no answer")
	}
}

// Guards against an entry that waits for a job after its owner has released it: the grant has to go to another link than
// that of the release.
func TestGrantFollowsReleaseByOwner(t *testing.T) {
	addr := startOwnerAgent(t)
	owner, next := dialOwnerAgent(t, addr, "e1"), dialOwnerAgent(t, addr, "e2")
	owner.request(1)
	owner.wantAnswer(1, true)
	next.request(7)
	next.wantAnswer(7, false)
	owner.send(&peerv1.EntryFrame{Releases: []string{"j"}})
	next.wantAnswer(7, true)
}

// Guards against an entry that waits for a job whose owner was lost, and against a grant while the lost owner may have runs.
func TestGrantFollowsLossOfOwner(t *testing.T) {
	addr := startOwnerAgent(t)
	owner, next := dialOwnerAgent(t, addr, "e1"), dialOwnerAgent(t, addr, "e2")
	owner.request(1)
	owner.wantAnswer(1, true)
	next.request(7)
	next.wantAnswer(7, false)
	lost := time.Now()
	owner.stop()
	owner.conn.Close()
	next.wantAnswer(7, true)
	// The newest message of the owner may be 20 ms older than the end of its link.
	if after := time.Since(lost); after < ownerTestLostAfter-30*time.Millisecond {
		t.Errorf("granted %s after the loss of the owner", after)
	}
}

// Guards against a job that stays with an entry which no longer has it: the release was lost with the link.
func TestNewLinkReplacesOwnedJobs(t *testing.T) {
	addr := startOwnerAgent(t)
	owner, next := dialOwnerAgent(t, addr, "e1"), dialOwnerAgent(t, addr, "e2")
	owner.request(1)
	owner.wantAnswer(1, true)
	next.request(7)
	next.wantAnswer(7, false)
	owner.stop()
	dialOwnerAgent(t, addr, "e1")
	next.wantAnswer(7, true)
}

// Guards against a grant that hides the loss of the former owner, whose run may be on a suspended VM (review/6).
func TestGrantAfterLossOfOwnerSaysSo(t *testing.T) {
	addr := startOwnerAgent(t)
	owner, next := dialOwnerAgent(t, addr, "e1"), dialOwnerAgent(t, addr, "e2")
	owner.request(1)
	owner.wantAnswer(1, true)
	owner.stop()
	owner.conn.Close()
	for number := uint64(2); ; number++ {
		next.request(number)
		var a *peerv1.JobAnswer
		select {
		case a = <-next.answers:
		case <-time.After(answerLimit):
			t.Fatal("no answer")
		}
		if a.GetGranted() {
			if !a.GetOwnerLost() {
				t.Errorf("answer %v", a)
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
