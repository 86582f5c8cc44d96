package event

// Events 201 to 299 concern the cluster package.
var clusterTexts = map[ID]string{}
