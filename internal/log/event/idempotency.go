package event

// The 1700s are about claims of idempotency keys.
const (
	ReplicasChanged     Code = 1701
	ReplicaChangeFailed Code = 1702
	PartitionLost       Code = 1703
	ClaimFailed         Code = 1704
)

var idempotencyEvents = map[Code]Entry{
	ReplicasChanged:     {Info, "the replicas that store claims changed", "nothing"},
	ReplicaChangeFailed: {Warn, "the replicas that store claims could not be changed; retrying", "nothing, unless it repeats: then look at the store"},
	PartitionLost:       {Warn, "claims were lost with their replicas; for a while, keys that may have been used before the loss are refused as unknown", "find out why two replicas of a partition ended within seconds of each other"},
	ClaimFailed:         {Warn, "an idempotency key could not be claimed; the caller receives an unknown outcome", "nothing, unless it repeats: then look for replicas that cannot be reached"},
}
