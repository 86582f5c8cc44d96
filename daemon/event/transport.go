package event

// Numbers 501 to 599 are for events of the transport package.
const (
	PeerUnreachable ID = 501
	PeerReachable   ID = 502
	ConnectionLost  ID = 503
	ConnectionReset ID = 504
)

var transportTexts = map[ID]string{
	PeerUnreachable: "peer cannot be reached",
	PeerReachable:   "peer can be reached again",
	ConnectionLost:  "connection to a peer was lost",
	ConnectionReset: "connection to a peer was reset to use another local port",
}
