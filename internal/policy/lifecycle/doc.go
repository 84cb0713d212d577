// Package lifecycle decides what a node believes of the target beside it, from
// the target's own heartbeats and from connections to it that are refused.
//
// It answers targets that are replaced while calls go on. Without an order of
// starts and heartbeats, one that was delayed by a cut brings back a target
// that has left, and its calls go to a process that is ending or, once the
// address is used again, to another service. A node that has just started
// believes nothing: the target may have said goodbye to the process before.
package lifecycle
