package event

// Events 401 to 499 concern the agent package.
var agentTexts = map[ID]string{}
