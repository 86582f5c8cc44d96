package event

// Numbers 201 to 299 are for events of the cluster package.
const (
	TableChanged       ID = 201
	ConfigChanged      ID = 202
	EntryJoined        ID = 203
	EntryRemoved       ID = 204
	SilentEntryRemoved ID = 205
	StoreUnreachable   ID = 206
	StoreReachable     ID = 207
	RecordWrittenBack  ID = 208
	HeartbeatMissed    ID = 209
	ChangeEnded        ID = 210
	EntryIDTaken       ID = 211
	RecordUnreadable   ID = 212
	RecordsDiffer      ID = 213
	JoinDelayed        ID = 214
	NotFresh           ID = 215
	FreshAgain         ID = 216
	TableChangeFailed  ID = 217
)

var clusterTexts = map[ID]string{
	TableChanged:       "entry table changed",
	ConfigChanged:      "configuration changed",
	EntryJoined:        "this entry joined the entry table",
	EntryRemoved:       "this entry is no longer in the entry table",
	SilentEntryRemoved: "a silent entry was removed from the entry table",
	StoreUnreachable:   "the store does not answer",
	StoreReachable:     "the store answers again",
	RecordWrittenBack:  "the store held an older record; the newer one was written back",
	HeartbeatMissed:    "heartbeat was not answered; the next call uses a new connection",
	ChangeEnded:        "configuration change ended",
	EntryIDTaken:       "another process uses the ID of this entry; this one does not join again",
	RecordUnreadable:   "a record in the store cannot be decoded",
	RecordsDiffer:      "two different records have the same version",
	JoinDelayed:        "this entry cannot join the entry table yet",
	NotFresh:           "this entry is not fresh and starts no tasks",
	FreshAgain:         "this entry is fresh",
	TableChangeFailed:  "a change of the entry table failed",
}
