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

	// OperatorToken lets an operator in at every node of a fleet.
	OperatorToken = "standin-operator-token"

	// waitLimit ends a wait that hangs: everything is on one machine, so this
	// long means that something is broken.
	waitLimit = time.Minute
)

// Fleet is everything that runs.
type Fleet struct {
	clock   *timer.Service
	events  io.Writer
	domains []string
	targets []target.Option

	callers   int
	settings  []string
	secure    *tls.Config
	store     *store.Store
	storeAddr string
	endStore  func()
	instances []*Instance
}

// Instance is a target and the node in its slot.
type Instance struct {
	name, domain string
	pool         snapshot.Pool
	target       *target.Server
	crashed      []*target.Server
	targetAddr   string
	endTarget    func()
	node         *node.Node
	endNode      func()
	secure       *tls.Config
}

// Name returns the instance's name.
func (i *Instance) Name() string { return i.name }

// Domain returns the instance's failure domain.
func (i *Instance) Domain() string { return i.domain }

// Pool returns the pool that the target serves.
func (i *Instance) Pool() snapshot.Pool { return i.pool }

// Target returns the stand-in target.
func (i *Instance) Target() *target.Server { return i.target }

// Runs returns how often each call ran here, by idempotency key, crashed targets
// included.
func (i *Instance) Runs() map[string]int {
	all := map[string]int{}
	if i.target == nil {
		return all
	}
	for _, t := range append(i.crashed, i.target) {
		for key, n := range t.Runs() {
			all[key] += n
		}
	}
	return all
}

// TargetAddr returns where the target itself listens.
func (i *Instance) TargetAddr() string { return i.targetAddr }

// Node returns the node.
func (i *Instance) Node() *node.Node { return i.node }

// Option sets one property of a fleet.
type Option func(*Fleet)

// Events sets where the nodes' logs go.
func Events(w io.Writer) Option { return func(f *Fleet) { f.events = w } }

// Domains sets the failure domains that the instances are spread over.
func Domains(names ...string) Option { return func(f *Fleet) { f.domains = names } }

// Callers adds a number of nodes without a target, from which calls only come.
func Callers(n int) Option { return func(f *Fleet) { f.callers = n } }

// Settings adds settings of the nodes, as their command line has them.
func Settings(args ...string) Option { return func(f *Fleet) { f.settings = args } }

// OperatorTLS sets how operators trust the nodes, where these have certificates.
func OperatorTLS(cfg *tls.Config) Option { return func(f *Fleet) { f.secure = cfg } }

// Targets sets options of every target besides its slots.
func Targets(opts ...target.Option) Option { return func(f *Fleet) { f.targets = opts } }

// Start starts a store and, for each planned upstream of each pool, an
// instance. Stop must be called also if it fails.
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
	for range f.callers {
		if err := f.startNode(f.newInstance(snapshot.Pool{})); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) newInstance(p snapshot.Pool) *Instance {
	k := len(f.instances)
	i := &Instance{name: fmt.Sprintf("instance-%02d", k+1), domain: f.domains[k%len(f.domains)], pool: p, endTarget: func() {}, secure: f.secure}
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
	f.endStore = func() {
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
	i.endTarget = sync.OnceFunc(func() {
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
	i.endNode = sync.OnceFunc(func() {
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

// Instances returns the instances in the order of their start.
func (f *Fleet) Instances() []*Instance { return f.instances }

// Store returns the stand-in store, whose faults can be set.
func (f *Fleet) Store() *store.Store { return f.store }

// StopNode stops an instance's node as a planned stop does.
func (f *Fleet) StopNode(i *Instance) { i.endNode() }

// RestartNode starts a stopped node again.
func (f *Fleet) RestartNode(i *Instance) error { return f.startNode(i) }

// CrashTarget ends an instance's target at once, and with it what it runs.
func (f *Fleet) CrashTarget(i *Instance) { i.endTarget() }

// RestartTarget starts a new target in place of a crashed one.
func (f *Fleet) RestartTarget(i *Instance) error {
	i.crashed = append(i.crashed, i.target)
	return f.startTarget(i, i.targetAddr)
}

// Stop stops all nodes together, then what stays up while they drain.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, i := range f.instances {
		if i.endNode != nil {
			wg.Go(i.endNode)
		}
	}
	wg.Wait()
	for _, i := range f.instances {
		i.endTarget()
	}
	if f.endStore != nil {
		f.endStore()
	}
}

// Until waits for a condition of the fleet.
func (f *Fleet) Until(ctx context.Context, what string, ok func() bool) error {
	ctx, cancel := f.clock.WithTimeout(ctx, waitLimit)
	defer cancel()
	for !ok() {
		if err := f.clock.Sleep(ctx, 2*time.Millisecond); err != nil {
			return &StartError{What: what + f.lagging(), Err: context.Cause(ctx)}
		}
	}
	return nil
}

// Ready reports whether all nodes are ready and know of each other's targets.
func (f *Fleet) Ready() bool {
	for _, i := range f.instances {
		if !i.node.Ready() || i.node.Targets() != len(f.instances)-f.callers {
			return false
		}
	}
	return true
}

// lagging tells of the nodes that are not ready or do not know all targets.
func (f *Fleet) lagging() string {
	var b strings.Builder
	for _, i := range f.instances {
		if state, known := i.node.State(), i.node.Targets(); state != "ready" || known != len(f.instances)-f.callers {
			fmt.Fprintf(&b, "; %s is %s and knows %d targets, not %s", i.name, state, known, i.node.Unready())
		}
	}
	return b.String()
}

// InForce returns how many nodes hold a version.
func (f *Fleet) InForce(version uint64) int {
	count := 0
	for _, i := range f.instances {
		if i.node.Holder().Current().Version() == version {
			count++
		}
	}
	return count
}

// Operator returns a client of one node's operators' API.
func (i *Instance) Operator() *operator.Client {
	addr, _ := i.node.Operators()
	if i.secure == nil {
		return operator.NewClient([]string{"http://" + addr.String()}, OperatorToken)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: i.secure, DisableKeepAlives: true}}
	return operator.NewClient([]string{"https://" + addr.String()}, OperatorToken, operator.HTTPClient(client))
}

// Confirm plans objects at one node, confirms the plan at another, waits until
// all nodes hold it and returns the plan, the version and how long that took
// from the start of the confirm.
func (f *Fleet) Confirm(ctx context.Context, objects []snapshot.Object) (*operator.Plan, uint64, time.Duration, error) {
	plan, err := f.instances[0].Operator().Plan(ctx, operator.NewWhole(objects))
	if err != nil {
		return nil, 0, 0, err
	}
	began := f.clock.Now()
	done, err := f.instances[len(f.instances)-1].Operator().Confirm(ctx, plan.ID())
	if err != nil {
		return nil, 0, 0, err
	}
	all := func() bool { return f.InForce(done.Version) == len(f.instances) }
	if err := f.Until(ctx, "the version is in force everywhere", all); err != nil {
		return nil, 0, 0, err
	}
	return plan, done.Version, f.clock.Since(began), nil
}

// StartError tells of a part that could not be started, or of a wait that
// ended in vain.
type StartError struct {
	What string
	Err  error
}

func (e *StartError) Error() string { return fmt.Sprintf("%s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }
