package event

// The 1000s are about the process.
const (
	NodeStarted      Code = 1001
	NodeReady        Code = 1002
	NodeDraining     Code = 1003
	NodeStopped      Code = 1004
	NodeFailed       Code = 1005
	ServerFault      Code = 1007
	SettingsReloaded Code = 1008
	SettingsRefused  Code = 1009
	NodeStopping     Code = 1010
	TargetDrained    Code = 1011
)

var processEvents = map[Code]Entry{
	NodeStarted:      {Info, "node started", "nothing"},
	NodeReady:        {Info, "node ready", "nothing"},
	NodeDraining:     {Info, "node draining: new calls are refused as not run, calls in flight finish", "nothing"},
	NodeStopped:      {Info, "node stopped", "nothing"},
	NodeFailed:       {Error, "node failed", "read the error; the process ends and its supervisor restarts it"},
	SettingsReloaded: {Info, "settings reloaded", "restart the node if start_needed is true"},
	NodeStopping:     {Info, "node stopping: it reports that it is not ready, and serves calls until callers have disconnected", "nothing"},
	TargetDrained:    {Info, "node draining: no call of another node runs at its target; callers' connections are closed", "nothing"},
	SettingsRefused:  {Error, "settings are invalid; the active ones stay", "read the error and correct the file"},
	ServerFault:      {Warn, "a connection to the control or operators' address failed before a request", "look at the error: a client without the fleet's certificate, or one with another protocol"},
}
