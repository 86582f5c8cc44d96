package event

// Events 501 to 599 concern the transport package.
var transportTexts = map[ID]string{}
