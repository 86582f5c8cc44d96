package event

import "maps"

// Numbers 101 to 199 are for events of the process itself, such as its start and stop.
const (
	Started         ID = 101
	Stopping        ID = 102
	Stopped         ID = 103
	Listening       ID = 104
	StopForced      ID = 105
	ComponentFailed ID = 106
	DrainFailed     ID = 107
	StacksRequested ID = 108
)

var processTexts = map[ID]string{
	Started:         "process started",
	Stopping:        "graceful stop started",
	Stopped:         "process stopped",
	Listening:       "listener opened",
	StopForced:      "graceful stop was cut short by a second signal",
	ComponentFailed: "process ends because one of its components failed",
	DrainFailed:     "graceful stop did not finish within its limit",
	StacksRequested: "stacks of all goroutines, requested by SIGUSR1",
}

// texts holds the fixed texts of all events.
var texts = mergeTexts(processTexts, clusterTexts, entryTexts, agentTexts, transportTexts, runTexts)

// Text returns the fixed text of an event, or "" for an unknown ID.
func Text(id ID) string { return texts[id] }

func mergeTexts(areas ...map[ID]string) map[ID]string {
	merged := make(map[ID]string)
	for _, a := range areas {
		maps.Copy(merged, a)
	}
	return merged
}
