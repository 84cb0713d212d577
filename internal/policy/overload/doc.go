// Package overload decides which calls a node refuses while it is short of processor
// time, so that they run at another target instead of waiting in the node's run queue
// until their deadline.
//
// The scheduling delay is how long a goroutine that is ready waits until it runs. It is
// estimated from how late a short periodic timer fires.
package overload
