package event

// Numbers 401 to 499 are for events of the agent package.
const (
	EntryReachable      ID = 401
	EntryUnreachable    ID = 402
	ServerAnnounced     ID = 403
	ServerLeaving       ID = 404
	ServerLeaseEnded    ID = 405
	AgentConfigured     ID = 406
	AgentTableAdopted   ID = 407
	AgentFetchFailed    ID = 408
	AgentDrainStarted   ID = 409
	AgentDrainEnded     ID = 410
	AgentDrainTimedOut  ID = 411
	RunConnectionLost   ID = 412
	AnnouncementRefused ID = 413
	AgentClaimed        ID = 414
)

var agentTexts = map[ID]string{
	EntryReachable:      "entry answers reports",
	EntryUnreachable:    "entry does not answer reports",
	ServerAnnounced:     "backend server announced itself or changed",
	ServerLeaving:       "backend server is shutting down",
	ServerLeaseEnded:    "backend server did not renew its lease",
	AgentConfigured:     "configuration adopted",
	AgentTableAdopted:   "entry table adopted",
	AgentFetchFailed:    "configuration could not be fetched from an entry",
	AgentDrainStarted:   "agent refuses new starts and waits for running tasks",
	AgentDrainEnded:     "agent has no running task and no result to be collected",
	AgentDrainTimedOut:  "agent stopped waiting for running tasks at the drain limit",
	RunConnectionLost:   "connection to a backend server was lost while a task was running",
	AnnouncementRefused: "announcement of a backend server was refused",
	AgentClaimed:        "start records returned to a claiming entry",
}
