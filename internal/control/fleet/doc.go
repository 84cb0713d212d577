// Package fleet shares the configuration, the member list and the state of rollouts
// between nodes, using the platform's store as the source of truth.
//
// Each node writes one key, its own entry, and reads those of its failure domain once when
// it starts. In each failure domain only the root of the distribution tree then watches
// the store; the other nodes pull configuration versions and members from their parents
// by long poll. The load on the store thus grows with the number of failure domains and
// changes, not with the number of nodes.
//
// An entry also names the targets that have left. The next process of a node reads it before
// it accepts a target, and a departure is acknowledged only once the store has the entry.
//
// Entries have no leases. The root probes the members of its domain and removes the entries
// of those that have stopped; departures in them stay for some minutes. It keeps a key of the
// domain under a lease, by which other domains notice that the whole domain is lost.
//
// There is no election: each node ranks the members in its own list, and the first is
// the root (see package tree). A node whose parents don't answer, or only serve stale
// data, is orphaned and reads the store itself. Two concurrent readers cost only extra
// calls, as only greater versions and newer entries are ever applied, whatever their
// source.
//
// Nodes also exchange data directly, for when the store is late or unavailable: the
// readers of a failure domain pull from the readers of others, a root without the store
// queries other nodes, and an entry that the store has dropped is kept for as long as
// the node that wrote it answers.
package fleet
