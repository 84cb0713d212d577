package event

// The 1500s are about operators.
const (
	PlanMade        Code = 1501
	PlanConfirmed   Code = 1502
	PlanRefused     Code = 1503
	PlanUnknown     Code = 1504
	OperatorRefused Code = 1505
)

var operatorsEvents = map[Code]Entry{
	PlanMade:        {Info, "plan made", "nothing"},
	PlanConfirmed:   {Info, "plan confirmed and in force", "nothing"},
	PlanRefused:     {Warn, "confirm refused; the plan is not in force", "read the error; a conflict names who changed what, so plan again"},
	PlanUnknown:     {Error, "it is not known whether a plan is in force", "confirm the same plan again once the store answers, which settles it"},
	OperatorRefused: {Warn, "request without a valid operator token refused", "if it was an operator, compare the token with the hash in the node's settings"},
}
