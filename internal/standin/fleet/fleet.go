package fleet

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/operator"
	"banyanlug.example/banyanlug/internal/process/node"
	"banyanlug.example/banyanlug/internal/standin/store"
	"banyanlug.example/banyanlug/internal/standin/target"
)

const (
	fleetKey     = "standin-fleet-key-0123456789"
	operatorName = "newcomer"

	// OperatorToken authenticates an operator at every node of a fleet.
	OperatorToken = "standin-operator-token"

	// waitTimeout bounds WaitUntil.
	waitTimeout = time.Minute
)

// Fleet is a store, targets and nodes that run in this process.
type Fleet struct {
	clock   *timer.Service
	events  io.Writer
	domains []string
	targets []target.Option

	callerCount int
	settings    []string
	operatorTLS *tls.Config
	store       *store.Store
	storeAddr   string
	stopStore   func()
	instances   []*Instance
}

// Instance is a node with its target; instances added by Callers have no target.
type Instance struct {
	name, domain   string
	pool           snapshot.Pool
	target         *target.Server
	crashedTargets []*target.Server
	targetAddr     string
	stopTarget     func()
	node           *node.Node
	stopNode       func()
	operatorTLS    *tls.Config
}

// Name returns the instance's name.
func (i *Instance) Name() string { return i.name }

// Domain returns the instance's failure domain.
func (i *Instance) Domain() string { return i.domain }

// Pool returns the pool that the target belongs to.
func (i *Instance) Pool() snapshot.Pool { return i.pool }

// Target returns the simulated target, or nil for an instance without one.
func (i *Instance) Target() *target.Server { return i.target }

// Runs returns how often each call ran on this instance's target, by idempotency
// key, including the targets that crashed before.
func (i *Instance) Runs() map[string]int {
	runs := map[string]int{}
	if i.target == nil {
		return runs
	}
	for _, t := range append(i.crashedTargets, i.target) {
		for key, n := range t.Runs() {
			runs[key] += n
		}
	}
	return runs
}

// TargetAddr returns the target's own listen address.
func (i *Instance) TargetAddr() string { return i.targetAddr }

// Node returns the instance's node.
func (i *Instance) Node() *node.Node { return i.node }

// Option sets one property of a fleet.
type Option func(*Fleet)

// Events sets the writer for the nodes' logs.
func Events(w io.Writer) Option { return func(f *Fleet) { f.events = w } }

// Domains sets the failure domains; instances are assigned to them in turn.
func Domains(names ...string) Option { return func(f *Fleet) { f.domains = names } }

// Callers adds n nodes without a target, which only send calls.
func Callers(n int) Option { return func(f *Fleet) { f.callerCount = n } }

// Settings adds command-line arguments for every node.
func Settings(args ...string) Option { return func(f *Fleet) { f.settings = args } }

// OperatorTLS sets the TLS configuration of operator clients, for nodes that have
// certificates.
func OperatorTLS(cfg *tls.Config) Option { return func(f *Fleet) { f.operatorTLS = cfg } }

// Targets sets options of every target, in addition to its slots.
func Targets(opts ...target.Option) Option { return func(f *Fleet) { f.targets = opts } }

// Start starts a store and one instance for each target that the pools plan.
// Stop must be called even if Start fails.
func Start(clock *timer.Service, pools []snapshot.Pool, opts ...Option) (*Fleet, error) {
	f := &Fleet{clock: clock, events: io.Discard, domains: []string{"here"}, store: store.New(clock)}
	for _, opt := range opts {
		opt(f)
	}
	if err := f.startStore(); err != nil {
		return f, err
	}
	for _, p := range pools {
		for range p.Upstreams() {
			if err := f.startInstance(f.newInstance(p)); err != nil {
				return f, err
			}
		}
	}
	for range f.callerCount {
		if err := f.startNode(f.newInstance(snapshot.Pool{})); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) newInstance(p snapshot.Pool) *Instance {
	k := len(f.instances)
	i := &Instance{name: fmt.Sprintf("instance-%02d", k+1), domain: f.domains[k%len(f.domains)], pool: p, stopTarget: func() {}, operatorTLS: f.operatorTLS}
	f.instances = append(f.instances, i)
	return i
}

func (f *Fleet) startStore() error {
	ln, err := listen()
	if err != nil {
		return err
	}
	f.storeAddr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go store.NewServer(f.store).Run(ctx, ln, served)
	f.stopStore = func() {
		cancel()
		<-served
	}
	return nil
}

func listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &StartError{What: "listener", Err: err}
	}
	return ln, nil
}

func (f *Fleet) startInstance(i *Instance) error {
	if err := f.startTarget(i, "127.0.0.1:0"); err != nil {
		return err
	}
	return f.startNode(i)
}

func (f *Fleet) startTarget(i *Instance, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return &StartError{What: "target", Err: err}
	}
	i.targetAddr = ln.Addr().String()
	i.target = target.New(f.clock, append([]target.Option{target.Slots(i.pool.Slots())}, f.targets...)...)
	served := make(chan error, 1)
	go i.target.Serve(ln, served)
	i.stopTarget = sync.OnceFunc(func() {
		i.target.Close()
		<-served
	})
	return nil
}

func (f *Fleet) startNode(i *Instance) error {
	n, err := f.newNode("-instance", i.name, "-failure-domain", i.domain, "-pool", i.pool.Name(), "-target", i.targetAddr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	i.node = n
	i.stopNode = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	return nil
}

func (f *Fleet) newNode(args ...string) (*node.Node, error) {
	fs := flag.NewFlagSet("node", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	cfg := node.Register(fs)
	args = append(args,
		"-store", f.storeAddr, "-fleet-key", fleetKey,
		"-callers", "127.0.0.1:0", "-mesh", "127.0.0.1:0", "-peers", "127.0.0.1:0", "-admin", "127.0.0.1:0",
		"-operators", "127.0.0.1:0", "-operator-tokens", operatorName+":"+hash(OperatorToken), "-drain-timeout", "5s",
	)
	args = append(args, f.settings...)
	if err := fs.Parse(args); err != nil {
		return nil, &StartError{What: "node settings", Err: err}
	}
	n, err := node.New(cfg, f.clock, f.events)
	if err != nil {
		return nil, &StartError{What: "node", Err: err}
	}
	return n, nil
}

func hash(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}

// Instances returns the instances in the order in which they were started.
func (f *Fleet) Instances() []*Instance { return f.instances }

// Store returns the simulated store, for fault injection.
func (f *Fleet) Store() *store.Store { return f.store }

// StopNode stops an instance's node gracefully, with a drain.
func (f *Fleet) StopNode(i *Instance) { i.stopNode() }

// RestartNode starts a stopped node again.
func (f *Fleet) RestartNode(i *Instance) error { return f.startNode(i) }

// CrashTarget stops an instance's target at once, without finishing its calls.
func (f *Fleet) CrashTarget(i *Instance) { i.stopTarget() }

// RestartTarget starts a new target on the address of a crashed one.
func (f *Fleet) RestartTarget(i *Instance) error {
	i.crashedTargets = append(i.crashedTargets, i.target)
	return f.startTarget(i, i.targetAddr)
}

// Stop stops all nodes together, and then the targets and the store, which the
// nodes need while they drain.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, i := range f.instances {
		if i.stopNode != nil {
			wg.Go(i.stopNode)
		}
	}
	wg.Wait()
	for _, i := range f.instances {
		i.stopTarget()
	}
	if f.stopStore != nil {
		f.stopStore()
	}
}

// WaitUntil waits until met returns true, for a minute at most. On a timeout it
// returns a StartError that names the condition and the nodes that are not ready.
func (f *Fleet) WaitUntil(ctx context.Context, condition string, met func() bool) error {
	ctx, cancel := f.clock.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !met() {
		if err := f.clock.Sleep(ctx, 2*time.Millisecond); err != nil {
			return &StartError{What: condition + f.describeUnready(), Err: context.Cause(ctx)}
		}
	}
	return nil
}

// Ready reports whether all nodes are ready and see every target as ready.
func (f *Fleet) Ready() bool {
	for _, i := range f.instances {
		if !i.node.Ready() || i.node.ReadyTargetCount() != len(f.instances)-f.callerCount {
			return false
		}
	}
	return true
}

// describeUnready lists the nodes that are not ready or do not see every target as
// ready.
func (f *Fleet) describeUnready() string {
	var b strings.Builder
	for _, i := range f.instances {
		if state, readyTargets := i.node.State(), i.node.ReadyTargetCount(); state != "ready" || readyTargets != len(f.instances)-f.callerCount {
			fmt.Fprintf(&b, "; %s is %s, sees %d ready targets, members not ready: %s", i.name, state, readyTargets, i.node.UnreadyMembers())
		}
	}
	return b.String()
}

// NodesWithActive returns the number of nodes on which a version is active.
func (f *Fleet) NodesWithActive(version uint64) int {
	count := 0
	for _, i := range f.instances {
		if i.node.Holder().Current().Version() == version {
			count++
		}
	}
	return count
}

// Operator returns a client for the node's operator API.
func (i *Instance) Operator() *operator.Client {
	addr, _ := i.node.Operators()
	if i.operatorTLS == nil {
		return operator.NewClient([]string{"http://" + addr.String()}, OperatorToken)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: i.operatorTLS, DisableKeepAlives: true}}
	return operator.NewClient([]string{"https://" + addr.String()}, OperatorToken, operator.HTTPClient(client))
}

// Confirm creates a plan of objects at the first node, confirms it at the last
// and waits until the new version is active on all nodes. It returns the plan,
// the version and the time from the start of the confirm.
func (f *Fleet) Confirm(ctx context.Context, objects []snapshot.Object) (*operator.Plan, uint64, time.Duration, error) {
	plan, err := f.instances[0].Operator().Plan(ctx, operator.NewFullSet(objects))
	if err != nil {
		return nil, 0, 0, err
	}
	began := f.clock.Now()
	confirmed, err := f.instances[len(f.instances)-1].Operator().Confirm(ctx, plan.ID())
	if err != nil {
		return nil, 0, 0, err
	}
	activeOnAll := func() bool { return f.NodesWithActive(confirmed.Version) == len(f.instances) }
	if err := f.WaitUntil(ctx, "version becomes active on all nodes", activeOnAll); err != nil {
		return nil, 0, 0, err
	}
	return plan, confirmed.Version, f.clock.Since(began), nil
}

// StartError reports a component that could not be started, or a condition that
// was not met in time.
type StartError struct {
	What string
	Err  error
}

func (e *StartError) Error() string { return fmt.Sprintf("%s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }
