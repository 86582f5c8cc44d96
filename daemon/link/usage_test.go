package link

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/kindusage"
	"poplargw.example/dispatch/run"
)

// Guards against messages that grow with the kinds beyond what is stated in docs/design/interference.md: 50 bytes for three
// kinds with names of eight letters, in an event and in a frame.
func TestUsageBytes(t *testing.T) {
	usage := []run.KindUsage{{Kind: "r-3i7m9u", Permille: 400}, {Kind: "r-8k2p4x", Permille: 250}, {Kind: "r-1b6n0q"}}
	e := run.Event{Ref: run.Ref{Task: "afa356cb4ce33e9d.0.0.1", Run: 50472865}, Kind: run.Done}
	plain := proto.Size(EventToProto(e))
	e.Beside = usage
	event := proto.Size(EventToProto(e)) - plain
	frame := proto.Size(&peerv1.AgentFrame{Usage: UsageToProto(usage)})
	t.Logf("an event without usage has %d bytes; usage adds %d bytes to it, and %d to a frame", plain, event, frame)
	if event > 50 || frame > 50 {
		t.Errorf("usage adds %d bytes to an event and %d to a frame", event, frame)
	}
	if got := EventFromProto(EventToProto(e)); !slices.Equal(got.Beside, usage) {
		t.Errorf("converted to %v", got.Beside)
	}
}

// Guards against a peer that sends usage beyond the server, or more kinds than an agent accounts for.
func TestUsageOutOfRange(t *testing.T) {
	var list []*peerv1.KindUsage
	for range 3 * kindusage.MaxKinds {
		list = append(list, &peerv1.KindUsage{Kind: "k", CpuPermille: 1 << 31})
	}
	got := UsageFromProto(append(list, nil))
	if len(got) != kindusage.MaxKinds || got[0].Permille != 1000 {
		t.Errorf("%d kinds, the first %+v", len(got), got[0])
	}
}
