package event

// The 1200s are about the distribution tree, quotas, the store's entries and rollouts.
const (
	PositionChanged      Code = 1201
	PeerLost             Code = 1202
	JoinFailed           Code = 1203
	AnnounceFailed       Code = 1204
	QuotaAllocating      Code = 1205
	QuotaLeaderElected   Code = 1206
	QuotaLeadershipLost  Code = 1207
	StoreRead            Code = 1208
	EntryWritten         Code = 1209
	LeaseLost            Code = 1210
	MemberChanged        Code = 1211
	MemberKept           Code = 1212
	BootIncreased        Code = 1213
	MembersChanged       Code = 1217
	RolloutChanged       Code = 1214
	RolloutHalted        Code = 1215
	RolloutStatusWritten Code = 1216
	Orphaned             Code = 1218
)

var distributionEvents = map[Code]Entry{
	PositionChanged:      {Info, "node's position in its failure domain's tree changed", "nothing"},
	PeerLost:             {Warn, "parent did not answer; trying another", "nothing, unless many nodes name the same peer"},
	JoinFailed:           {Warn, "a listed node did not answer while this one was joining the mesh", "nothing, unless the node does not join: then check the seeds"},
	AnnounceFailed:       {Warn, "parent did not accept an announcement; sending it again", "nothing, unless it repeats"},
	QuotaAllocating:      {Info, "node allocates its failure domain's share of the quotas", "nothing"},
	QuotaLeaderElected:   {Info, "node became the fleet's quota leader", "nothing"},
	StoreRead:            {Info, "node read the configuration and the members from the store", "nothing"},
	EntryWritten:         {Info, "node wrote its own entry to the store", "nothing"},
	LeaseLost:            {Warn, "the lease of the failure domain's key expired; writing the key again", "look at the store if it repeats"},
	MemberChanged:        {Info, "another node reported the state of its target", "nothing"},
	MembersChanged:       {Info, "many nodes reported the states of their targets at once", "nothing"},
	BootIncreased:        {Warn, "the entry of an earlier process of this node has a later boot; raising this process's boot above it", "nothing; the machine's clock was set back"},
	MemberKept:           {Warn, "a member whose entry the store has dropped still answers and is kept", "look at the store, or at the member's connection to it, if it repeats"},
	RolloutChanged:       {Info, "the node received a change of a rollout: of its order, progress or status", "nothing"},
	RolloutHalted:        {Warn, "a rollout is rolled back for the given reason", "see docs/operators/rollouts.md"},
	Orphaned:             {Info, "if on is true, no parent answers with fresh data and the node reads the store itself; otherwise one does again", "look at the nodes above it in the tree if it repeats"},
	RolloutStatusWritten: {Info, "the status of a rollout was written for operators", "nothing"},
	QuotaLeadershipLost:  {Warn, "node is no longer the fleet's quota leader; another relay takes over", "look at the store if it repeats; failure domains keep their last shares for 15 min"},
}
