// Package issuer takes tokens of organisations' limits from the nodes that issue them, and
// serves as such a node for others. Package token decides; see there for what holds.
//
// Which nodes issue follows from the member list, without an election: the first nodes of
// the distribution tree in each failure domain, chosen among these by a hash of the
// organisation. If the first choice does not answer, the next one issues.
package issuer
