// Package resident runs a node on a platform that keeps the configuration and
// the membership in one store and whose targets send heartbeats.
//
// It runs the same call path as package node, without the parts that such a
// platform does not need: publishing of versions, a distribution tree, a ledger
// of idempotency claims (each target is reached only through its own node) and a
// quota leader.
package resident
