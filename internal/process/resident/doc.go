// Package resident runs a node on a platform that keeps the configuration and
// the members in one store and whose targets tell of themselves.
//
// It is the product's call path as package node runs it, without what such a
// platform makes needless: there is no publishing of versions, no tree to
// distribute them, no ledger of claims (the node beside a target is the only
// way to it, so it alone sees each call once) and no seat of limits.
package resident
