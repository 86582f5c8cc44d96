package event

// Events 301 to 399 concern the entry package.
var entryTexts = map[ID]string{}
