package event

// The 1400s are about calls.
const (
	StopTimedOut           Code = 1401
	ResponseFault          Code = 1402
	UnauthenticatedRefused Code = 1403
	TargetChanged          Code = 1404
	CallsHeld              Code = 1405
	TargetRateLimit        Code = 1406
	TargetRate             Code = 1407
	TargetCrashed          Code = 1408
	CrashRecorded          Code = 1409
	Overload               Code = 1410
	HighestLevel           Code = 1411
	DepartureUnsaved       Code = 1412
	HeartbeatRefused       Code = 1413
	TargetDoubted          Code = 1414
	TargetIdentified       Code = 1415
	TargetCheckInvalid     Code = 1416
)

var callsEvents = map[Code]Entry{
	StopTimedOut:           {Warn, "the stop timed out and cut off calls", "give the stop more time than the longest deadline of the routes"},
	ResponseFault:          {Error, "a handler panicked or sent a response of the wrong length; the connection was closed so that the response does not look complete", "report it with the error: it is a fault of this program"},
	CallsHeld:              {Error, "calls were in flight at two crashes of targets and are held back", "look at the requests of the calls that are refused as held-back; they crash targets"},
	TargetChanged:          {Info, "the state of the node's local target changed", "nothing; down means that its address refuses connections"},
	TargetRateLimit:        {Info, "the local target changed the limit that it names for the rate of calls; 0 is none", "see docs/operators/admission.md if it stays"},
	TargetRate:             {Info, "calls passed to a local target that names a limit for their rate; at most one line per second", "compare per_second with limit"},
	TargetCrashed:          {Error, "the process of the local target ended without notice; the calls in flight there are suspects", "look at the target; suspects names the calls by id, method and fingerprints, exact and of the content; a question mark is a query"},
	CrashRecorded:          {Info, "a crash of some target was counted against the calls that were in flight there", "compare with 1408 of that target's node"},
	Overload:               {Warn, "this node is short of processor time and refuses calls for its target (started), or no longer is (ended)", "see docs/operators/admission.md if it repeats"},
	HighestLevel:           {Info, "an organisation uses three quarters of its limit or more at this issuer, so that its calls go behind those of others; at most one line in 10 s for an organisation", "see docs/operators/fairness.md"},
	DepartureUnsaved:       {Warn, "a target's report that it leaves was not acknowledged, as the store did not take it in time; the target gets no more calls", "look at the store, or at this node's connection to it, if it repeats"},
	HeartbeatRefused:       {Warn, "a heartbeat that is incomplete, or not of the target at this node's address, was answered with 400 and changed nothing", "look at the error for the field; find out who sends it if it is not the target"},
	TargetDoubted:          {Info, "another process than the target that reported last answers at its address; the next heartbeat of any that has not left counts", "nothing after a restart of the target; if it repeats, find out who sends heartbeats under that id"},
	TargetIdentified:       {Info, "a report contradicts what is known of the target, so the process at its address was asked under that id; it answered with the id in process, or not at all", "if it repeats, find out who sends heartbeats or deregistrations under that id"},
	TargetCheckInvalid:     {Warn, "the local target's response to a readiness check was not one of HTTP; the check counts as unanswered", "look at what the target answers at /readyz"},
	UnauthenticatedRefused: {Warn, "unauthenticated connection refused; at most one line per second", "look at the address: a node with another fleet key, or a client that is not a node"},
}
