package event

// Numbers 301 to 399 are for events of the entry package.
const (
	EntryDropped    ID = 301
	HomeLoopPaused  ID = 302
	ClaimStarted    ID = 303
	ClaimEnded      ID = 304
	AgentNotClaimed ID = 305
	DrainStarted    ID = 306
	DrainEnded      ID = 307
	HomeUnreachable ID = 308

	DrainTableUnchanged ID = 309
)

var entryTexts = map[ID]string{
	EntryDropped:    "entry was removed from the entry table; submissions in progress dropped",
	HomeLoopPaused:  "home loop did not run for some time",
	ClaimStarted:    "claim of a moved range started",
	ClaimEnded:      "claim of a moved range ended",
	AgentNotClaimed: "agent did not answer a claim",
	DrainStarted:    "drain started",
	DrainEnded:      "drain ended",
	HomeUnreachable: "call to the home of a submission failed",

	DrainTableUnchanged: "drain continues although the entry table could not be changed",
}
