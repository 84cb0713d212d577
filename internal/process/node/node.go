package node

import (
	"io"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/ledger"
	"banyanlug.example/banyanlug/internal/control/peer"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/control/quota"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/report/burn"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

// Node is one node: the control side, the traffic side and the life that
// both share.
type Node struct {
	cfg     *Settings
	clock   *timer.Service
	log     *event.Logger
	metrics *metrics.Set
	life    *life
	seed    uint64

	listeners listeners
	store     platform.Store
	versions  *publish.Log
	view      *membership.View
	peer      *peer.Node
	burn      *burn.Recorder
	ledger    *ledger.Node
	limits    *limit.Holder
	quota     *quota.Part
	hop       *hop.Client
	gate      *gate
	callers   *caller.Server
	slots     *target.Slots
	targets   *target.Server
	local     netip.AddrPort
}

// New opens the node's addresses and wires its parts; Run starts them.
func New(cfg *Settings, clock *timer.Service, out io.Writer) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, clock: clock, log: event.New(out, cfg.instance), metrics: metrics.NewSet(),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.wire(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

// Callers returns the address on which callers reach the node.
func (n *Node) Callers() netip.AddrPort { return addrOf(n.listeners.callers) }

// Peers returns the address on which other nodes reach it for control.
func (n *Node) Peers() netip.AddrPort { return addrOf(n.listeners.peers) }

// Admin returns the address of metrics and health.
func (n *Node) Admin() netip.AddrPort { return addrOf(n.listeners.admin) }

// Operators returns the address of the operators' API, or false without one.
func (n *Node) Operators() (netip.AddrPort, bool) {
	if n.listeners.operators == nil {
		return netip.AddrPort{}, false
	}
	return addrOf(n.listeners.operators), true
}

// Holder returns the versions that the node holds.
func (n *Node) Holder() *peer.Holder { return n.peer.Holder() }

// Quota returns the node's part in moving the shares of limits.
func (n *Node) Quota() *quota.Part { return n.quota }

// State returns where the node is in its life.
func (n *Node) State() string { return n.life.state() }

// Unready returns the members that the node knows and that are not ready.
func (n *Node) Unready() []string {
	var out []string
	for _, r := range n.view.Records() {
		if r.State() != membership.Ready {
			out = append(out, r.Instance()+" "+r.State().String())
		}
	}
	return out
}

// Ready reports whether the node takes calls.
func (n *Node) Ready() bool { return n.life.ready() }

// Targets returns how many targets the node knows that get new work.
func (n *Node) Targets() int {
	count := 0
	for _, r := range n.view.Records() {
		if r.Pool() != "" && r.State() == membership.Ready {
			count++
		}
	}
	return count
}
