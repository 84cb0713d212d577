package event

// The 1800s are about decisions on single calls; each event has the call's id.
const (
	CallFailed         Code = 1801
	AttemptFailed      Code = 1802
	CallServed         Code = 1803
	CallerDisconnected Code = 1804
	SlotRefused        Code = 1811
	TargetFailed       Code = 1812
	TargetResponded    Code = 1813
)

var decisionEvents = map[Code]Entry{
	CallFailed:         {Warn, "a call ended without its target's answer", "read cause; not-run calls may be sent again, unknown ones were sent and may have run"},
	AttemptFailed:      {Info, "an attempt at a target failed; next says what followed", "nothing; look at the target's node for the same id"},
	CallServed:         {Info, "a call was answered; logged for one call in 512 and for each with more than one attempt", "nothing"},
	CallerDisconnected: {Info, "the caller disconnected before its response", "nothing, unless many disconnect: then look at the latency"},
	SlotRefused:        {Info, "a target's node refused a call; the call has not run", "read reason and the load that led to it"},
	TargetFailed:       {Warn, "a call that was passed to the target got no complete response", "look at the target; the call may have run unless outcome is not-run"},
	TargetResponded:    {Info, "the target responded; logged for one response in 512 and for each server error", "nothing"},
}
