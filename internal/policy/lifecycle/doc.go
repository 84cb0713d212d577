// Package lifecycle tracks the state of the target that a node serves, from the
// target's own heartbeats, from refused connections to it and from its answers that it is
// another process.
//
// A heartbeat may also be of another writer. One that is stale by what was accepted is therefore
// disputed, not dropped: the process at the address is asked who it is, and what nothing renews
// gives way to the reports that go on.
//
// Targets are replaced while calls are running. Heartbeats are therefore ordered
// by process start and sequence number, so that a delayed one can't reactivate a
// target that has left: calls would go to a process that is ending or, once its
// address is reused, to another service. The target of a node that has just
// started is unknown; it may already have sent its goodbye to the node's previous
// process, which has left its departures where the next one reads them.
package lifecycle
