package node

import (
	"context"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/operator"
	"banyanlug.example/banyanlug/internal/control/peer"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// stateUnreachable is what status shows of a member whose node did not answer.
const stateUnreachable = "unreachable"

// fleet answers what operators ask of all nodes.
type fleet struct{ n *Node }

var _ operator.Fleet = fleet{}

func (f fleet) ask(ctx context.Context) []peer.NodeStatus {
	var live []membership.Record
	for _, r := range f.n.view.Records() {
		if r.State() != membership.Gone {
			live = append(live, r)
		}
	}
	return f.n.peer.Fleet(ctx, live)
}

// Nodes implements operator.Fleet. Each node is asked itself, so that what an
// operator reads is what the proxies hold and not what somebody heard.
func (f fleet) Nodes(ctx context.Context) ([]operator.Node, error) {
	answers := f.ask(ctx)
	out := make([]operator.Node, 0, len(answers))
	for _, s := range answers {
		node := operator.Node{Name: s.Record().Instance(), Domain: s.Record().Domain(), State: s.Record().State().String()}
		if s.Err() != nil {
			node.State = stateUnreachable
		} else {
			node.Version, node.Format = s.Version(), s.Format()
		}
		out = append(out, node)
	}
	return out, nil
}

// LowestFormat implements operator.Fleet; a node that does not answer can't
// hold back a plan, and when it is back it says itself that it can't apply it.
func (f fleet) LowestFormat(ctx context.Context) (uint32, string, error) {
	level, name := uint32(snapshot.FormatLevel), f.n.cfg.instance
	for _, s := range f.ask(ctx) {
		if s.Err() == nil && s.Format() < level {
			level, name = s.Format(), s.Record().Instance()
		}
	}
	return level, name, nil
}

// operatorService returns the part that plans and confirms, or nil without a
// store: there is nothing to confirm into.
func (n *Node) operatorService() *operator.Service {
	if n.versions == nil {
		return nil
	}
	return operator.New(operator.FromLog(n.versions), fleet{n}, operator.Clock(n.clock), operator.Log(n.log),
		operator.Held(n.peer.Holder().Current))
}
