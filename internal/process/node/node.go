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
	"banyanlug.example/banyanlug/internal/policy/drain"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/report/burn"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

// Node is one node of the mesh: its control components, its traffic components
// and their common lifecycle.
type Node struct {
	cfg       *Settings
	clock     *timer.Service
	log       *event.Logger
	metrics   *metrics.Set
	lifecycle *lifecycle
	seed      uint64

	listeners  listeners
	store      platform.Store
	versions   *publish.Log
	view       *membership.View
	peer       *peer.Node
	burn       *burn.Recorder
	ledger     *ledger.Node
	limits     *limit.Limiter
	quota      *quota.Agent
	hop        *hop.Client
	gate       *configGate
	callers    *caller.Server
	slots      *target.Slots
	targets    *target.Server
	targetAddr netip.AddrPort
	drainGate  *drain.Gate
}

// New opens the node's listeners and builds its components; Run starts them.
// It returns a *SettingError for a setting that cannot be used.
func New(cfg *Settings, clock *timer.Service, out io.Writer) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, clock: clock, log: event.New(out, cfg.instance), metrics: metrics.NewSet(),
		drainGate: drain.NewGate(),
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

// Callers returns the address on which the node accepts calls.
func (n *Node) Callers() netip.AddrPort { return addrOf(n.listeners.callers) }

// Peers returns the address of the control API for other nodes.
func (n *Node) Peers() netip.AddrPort { return addrOf(n.listeners.peers) }

// Admin returns the address of the metrics, health and profiling endpoints.
func (n *Node) Admin() netip.AddrPort { return addrOf(n.listeners.admin) }

// Operators returns the address of the operators' API, or false if it is off.
func (n *Node) Operators() (netip.AddrPort, bool) {
	if n.listeners.operators == nil {
		return netip.AddrPort{}, false
	}
	return addrOf(n.listeners.operators), true
}

// Holder returns the holder of the node's configuration versions.
func (n *Node) Holder() *peer.Holder { return n.peer.Holder() }

// Quota returns the component that exchanges quota shares with other nodes.
func (n *Node) Quota() *quota.Agent { return n.quota }

// State returns the node's lifecycle state: starting, ready, draining or stopped.
func (n *Node) State() string { return n.lifecycle.state() }

// UnreadyMembers returns the name and state of each known member that is not ready.
func (n *Node) UnreadyMembers() []string {
	var out []string
	for _, r := range n.view.Records() {
		if r.State() != membership.Ready {
			out = append(out, r.Instance()+" "+r.State().String())
		}
	}
	return out
}

// Ready reports whether the node is in sync and not draining.
func (n *Node) Ready() bool { return n.lifecycle.ready() }

// ReadyTargetCount returns the number of known targets that are ready.
func (n *Node) ReadyTargetCount() int {
	count := 0
	for _, r := range n.view.Records() {
		if r.Pool() != "" && r.State() == membership.Ready {
			count++
		}
	}
	return count
}
