package event

// The 1000s are about the process.
const (
	NodeStarted     Code = 1001
	NodeReady       Code = 1002
	NodeDrains      Code = 1003
	NodeStopped     Code = 1004
	NodeFailed      Code = 1005
	ServerFault     Code = 1007
	SettingsRead    Code = 1008
	SettingsRefused Code = 1009
	NodeLeaves      Code = 1010
)

var processEvents = map[Code]Entry{
	NodeStarted:     {Info, "node started", "nothing"},
	NodeReady:       {Info, "node ready", "nothing"},
	NodeDrains:      {Info, "node drains: new work is refused as not run, work in flight finishes", "nothing"},
	NodeStopped:     {Info, "node stopped", "nothing"},
	NodeFailed:      {Error, "node failed", "read the error; the process ends and its slot's supervisor starts it again"},
	SettingsRead:    {Info, "settings read again", "start the node anew if start_needed is true"},
	NodeLeaves:      {Info, "node is to stop: it is not ready, and serves what comes until callers have left", "nothing"},
	SettingsRefused: {Error, "settings can't be used; those in force hold", "read the error and mend the file"},
	ServerFault:     {Warn, "a connection to the control or operators' address failed before a request", "look at the error: a client without the fleet's certificate, or one that speaks another protocol"},
}
