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
)

var distributionEvents = map[Code]Entry{
	Placed:         {Info, "node found its place in its failure domain's tree", "nothing"},
	PeerLost:       {Warn, "parent did not answer; another is tried", "nothing, unless many nodes name the same peer"},
	JoinFailed:     {Warn, "a listed node did not answer while this one looked for the mesh", "nothing, unless the node stays alone: then check the seeds"},
	AnnounceFailed: {Warn, "parent did not take an announcement; it is sent again", "nothing, unless it goes on"},
	QuotaRelay:     {Info, "node hands out its failure domain's share of limits", "nothing"},
	QuotaSeated:    {Info, "node keeps the whole fleet's ledger of limits", "nothing"},
	QuotaSeatLost:  {Warn, "node gave up the whole fleet's ledger of limits; another relay takes it", "look at the store if it goes on; failure domains keep their last shares for 15 min"},
}
