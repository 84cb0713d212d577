package event

// The 1200s are about the distribution tree.
const (
	Placed         Code = 1201
	PeerLost       Code = 1202
	JoinFailed     Code = 1203
	AnnounceFailed Code = 1204
)

var distributionEvents = map[Code]Entry{
	Placed:         {Info, "node found its place in its failure domain's tree", "nothing"},
	PeerLost:       {Warn, "parent did not answer; another is tried", "nothing, unless many nodes name the same peer"},
	JoinFailed:     {Warn, "a listed node did not answer while this one looked for the mesh", "nothing, unless the node stays alone: then check the seeds"},
	AnnounceFailed: {Warn, "parent did not take an announcement; it is sent again", "nothing, unless it goes on"},
}
