// Package issuer takes tokens of organisations' limits from the nodes that issue them, and
// serves as such a node for others. Package token decides; see there for what holds.
//
// Which nodes issue follows from the member list, without an election: the first nodes of
// the distribution tree in each failure domain, chosen among these by a hash of the
// organisation. If the process of the first choice has stopped, the next one issues. One that does
// not answer may still issue to others, so tokens are then taken in another domain.
package issuer
