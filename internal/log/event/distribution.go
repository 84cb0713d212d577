package event

// The 1200s are about the distribution tree.
const (
	Placed         Code = 1201
	PeerLost       Code = 1202
	JoinFailed     Code = 1203
	AnnounceFailed Code = 1204
	QuotaRelay     Code = 1205
	QuotaSeated    Code = 1206
	QuotaSeatLost  Code = 1207
	FleetRead      Code = 1208
	EntryWritten   Code = 1209
	LeaseLost      Code = 1210
	MemberChanged  Code = 1211
	MemberKept     Code = 1212
	BootRaised     Code = 1213
	RolloutChanged Code = 1214
	RolloutHalted  Code = 1215
	RolloutTold    Code = 1216
)

var distributionEvents = map[Code]Entry{
	Placed:         {Info, "node found its place in its failure domain's tree", "nothing"},
	PeerLost:       {Warn, "parent did not answer; another is tried", "nothing, unless many nodes name the same peer"},
	JoinFailed:     {Warn, "a listed node did not answer while this one looked for the mesh", "nothing, unless the node stays alone: then check the seeds"},
	AnnounceFailed: {Warn, "parent did not take an announcement; it is sent again", "nothing, unless it goes on"},
	QuotaRelay:     {Info, "node hands out its failure domain's share of limits", "nothing"},
	QuotaSeated:    {Info, "node keeps the whole fleet's ledger of limits", "nothing"},
	FleetRead:      {Info, "node has read the configuration and the members from the store", "nothing"},
	EntryWritten:   {Info, "node wrote its own entry to the store", "nothing"},
	LeaseLost:      {Warn, "the lease of the node's entry had ended; it is written again", "look at the store if it repeats"},
	MemberChanged:  {Info, "another node told of its target", "nothing"},
	BootRaised:     {Warn, "the entry that a process before this one left has a later boot; this one takes a later one still", "nothing; the machine's clock was set back"},
	MemberKept:     {Warn, "a member whose entry the store has dropped answers and is kept", "look at the store, or at the member's way to it, if it goes on"},
	RolloutChanged: {Info, "the node learnt of a rollout's order or of what became of it", "nothing"},
	RolloutHalted:  {Warn, "a rollout is rolled back, as the reason says", "see docs/operators/rollouts.md"},
	RolloutTold:    {Info, "operators were told the state of a rollout", "nothing"},
	QuotaSeatLost:  {Warn, "node gave up the whole fleet's ledger of limits; another relay takes it", "look at the store if it goes on; failure domains keep their last shares for 15 min"},
}
