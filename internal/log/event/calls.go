package event

// The 1400s are about calls.
const (
	StopCutOff      Code = 1401
	AnswerFault     Code = 1402
	StrangerRefused Code = 1403
	TargetChanged   Code = 1404
	CallsHeld       Code = 1405
)

var callsEvents = map[Code]Entry{
	StopCutOff:      {Warn, "stop ran out of time and cut off calls", "give the stop more time than the longest deadline of the routes"},
	AnswerFault:     {Error, "handler broke its answer; the connection was ended so that it does not look whole", "report it with the error: it is a fault of this program"},
	CallsHeld:       {Error, "calls were in flight at two crashes of targets and are held back", "look at what the calls named held-back ask for; they take targets down"},
	TargetChanged:   {Info, "what the node believes of the target beside it has changed", "nothing; down says that its address refuses connections"},
	StrangerRefused: {Warn, "connection without the fleet's proof refused; one line a second at most", "look at the address: a node with another fleet key, or someone who is no node"},
}
