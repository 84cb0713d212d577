// Package fleet keeps what the nodes share through the platform's store, where
// that store holds both the configuration and the list of members.
//
// Each node watches the store by itself and writes one key, its own entry,
// under a lease. Up to some two dozen nodes, each reads the configuration there
// too; beyond, four of each failure domain do, tell of its newest version in one
// more key, and the others fetch it from them.
//
// What the store can't tell in time, the nodes tell each other:
// a node whose store is out asks another for what it holds, and an entry that
// the store has dropped is kept for as long as the node that wrote it answers.
// Only greater versions and later entries are ever taken over, whichever way
// they come, so that crossing messages do no harm.
package fleet
