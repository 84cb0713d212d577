// Package drain decides which calls a stopping node still passes on. A call that can
// outlast the node's process would be cut off while its target works on it, so it is
// refused while it has not run and can go to another node.
//
// The calls that the node's own target makes are an exception: those that run there
// depend on them, and no other node can take them. They are passed on with the time
// that the process has left.
package drain
