// Package fleet keeps what the nodes share through the platform's store, where
// that store holds both the configuration and the list of members.
//
// Each node writes one key, its own entry, under a lease, and reads the members
// once when it starts. Then one node of each failure domain, the root of its tree,
// watches the store, and the others pull versions and members from the nodes above
// them, by long poll: what the store is asked grows with failure domains and
// changes, and not with nodes times changes.
//
// There is no election. The root is who ranks first among the members that a node
// knows, as package tree has it; if nobody above a node answers, or none with fresh
// word of the store, it reads the store itself. Two that read at once cost calls and
// nothing else, as only greater versions and later entries are ever taken over,
// whichever way they come.
//
// What the store can't tell in time, the nodes tell each other: the readers of a
// failure domain hear of versions from others too, a root whose store is out asks
// another node for what it holds, and an entry that the store has dropped is kept
// for as long as the node that wrote it answers.
package fleet
