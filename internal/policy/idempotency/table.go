package idempotency

import (
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// Partitions is the number of partitions. It can't be changed, since a key must map
	// to the same partition at every node and epoch. With three replicas each, up to
	// 768 processes share the records.
	Partitions = 256
	// replicasPerPartition keeps a majority of the records if one replica fails.
	replicasPerPartition = 3
)

// PartitionOf returns the partition of a key. It depends on the key alone, so that all
// nodes agree.
func PartitionOf(key string) int { return int(xxh3.HashString(key) % Partitions) }

// Member is one process that may be a replica. A restarted instance is another
// member.
type Member struct {
	instance string
	boot     uint64
	peer     netip.AddrPort
}

// NewMember returns the member for a process of an instance; peer is its address
// for control calls.
func NewMember(instance string, boot uint64, peer netip.AddrPort) Member {
	return Member{instance, boot, peer}
}

// Instance returns the instance's name.
func (m Member) Instance() string { return m.instance }

// Boot returns the process's boot number.
func (m Member) Boot() uint64 { return m.boot }

// Peer returns the address for control calls.
func (m Member) Peer() netip.AddrPort { return m.peer }

// sameProcess reports whether both are one process.
func (m Member) sameProcess(o Member) bool { return m.instance == o.instance && m.boot == o.boot }

// supersedes reports whether m proves that o has ended: it is a later process that
// listens at o's address, which a paused process would still hold.
func (m Member) supersedes(o Member) bool {
	return m.instance == o.instance && m.peer == o.peer && o.boot < m.boot
}

// Assignment is the list of a partition's replicas in one epoch.
type Assignment struct {
	epoch              uint64
	replicas, previous []Member
}

// NewAssignment returns an assignment as it is stored.
func NewAssignment(epoch uint64, replicas, previous []Member) Assignment {
	return Assignment{epoch, replicas, previous}
}

// Epoch returns the assignment's number; 0 means that there is none.
func (a Assignment) Epoch() uint64 { return a.epoch }

// Replicas returns the replicas.
func (a Assignment) Replicas() []Member { return a.replicas }

// Previous returns the replicas of the previous epoch.
func (a Assignment) Previous() []Member { return a.previous }

// majority returns the least size at which any two subsets of n overlap.
func majority(n int) int { return n/2 + 1 }

// Repair returns the assignment with failed replicas replaced and missing ones
// added, and whether it changed. The live members come in order of preference.
// Live replicas stay, since each change costs a hand-over.
func Repair(a Assignment, live []Member) (Assignment, bool) {
	var replicas []Member
	for _, r := range a.replicas {
		if slices.ContainsFunc(live, r.sameProcess) {
			replicas = append(replicas, r)
		}
	}
	kept := len(replicas)
	candidates := slices.DeleteFunc(slices.Clone(live), func(m Member) bool { return slices.ContainsFunc(replicas, m.sameProcess) })
	replicas = append(replicas, candidates[:min(len(candidates), replicasPerPartition-kept)]...)
	if len(replicas) == 0 || kept == len(a.replicas) && len(replicas) == kept {
		return a, false
	}
	return Assignment{epoch: a.epoch + 1, replicas: replicas, previous: a.replicas}, true
}

// Rebalance returns the assignment with one replica exchanged for a more preferred
// member, and whether it changed. Changing one at a time keeps a majority of the
// replicas that have the records.
func Rebalance(a Assignment, preferred []Member) (Assignment, bool) {
	best := preferred[:min(len(preferred), replicasPerPartition)]
	in := slices.IndexFunc(best, func(m Member) bool { return !slices.ContainsFunc(a.replicas, m.sameProcess) })
	out := slices.IndexFunc(a.replicas, func(m Member) bool { return !slices.ContainsFunc(best, m.sameProcess) })
	if in < 0 || out < 0 {
		return a, false
	}
	replicas := slices.Clone(a.replicas)
	replicas[out] = best[in]
	return Assignment{epoch: a.epoch + 1, replicas: replicas, previous: a.replicas}, true
}

// CanHandOver reports whether a majority of the replicas are live or proved by a
// later process to have ended. Otherwise the next epoch could not be served, and
// replicas that are only unreachable would lose the partition as well.
func CanHandOver(a Assignment, live []Member) bool {
	n := 0
	for _, r := range a.replicas {
		if slices.ContainsFunc(live, func(m Member) bool { return m.sameProcess(r) || m.supersedes(r) }) {
			n++
		}
	}
	return a.epoch == 0 || n >= majority(len(a.replicas))
}
