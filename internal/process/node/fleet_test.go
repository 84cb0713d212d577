package node_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"banyanlug.example/banyanlug/internal/log/event"
)

const (
	fleetKey  = "a-fleet-key-of-tests-0123456789"
	callerKey = "demo-gyms"
	anaToken  = "token-of-ana"
	boToken   = "token-of-bo"
)

// The declarations of the tests; routes that take long have long deadlines.
var declarations = fmt.Sprintf(`
services:
  - name: walls
pools:
  - name: walls
    service: walls
    upstreams: 4
    slots: 40
    promised: 20
    connections: 200
organisations:
  - name: gyms
    class: paying
    keys:
      - %s
routes:
  - name: view
    path: /walls
    methods: [GET]
    service: walls
    pool: walls
    idempotent: true
    deadline: 10s
    retries: 3
  - name: quick
    path: /quick
    methods: [GET]
    service: walls
    pool: walls
    idempotent: true
    deadline: 1s
    retries: 3
  - name: send
    path: /sends
    methods: [POST]
    service: walls
    pool: walls
    idempotent: false
    deadline: 10s
`, hash(callerKey))

// edit is a change of one object, different for each n.
func edit(n int) string {
	return fmt.Sprintf(`
services:
  - name: extra-%d
`, n)
}

func hash(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}

// fleet is a store, nodes and targets, each in a process of its own.
type fleet struct {
	t     *testing.T
	dir   string
	store *process
	at    string
	nodes []*node
	edits int
	// network carries what goes between processes, if the test cuts it.
	network *network
}

// node is a node's process with where it serves.
type node struct {
	*process
	instance, domain, target string
	// beside is the target's process, if the test started one.
	beside *process
	// peersRoute leads to the node's control address over the network.
	peersRoute *route
	logged
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	f.store = start(t, "store", binaries.standin, "store", "-addr", "127.0.0.1:0")
	f.at = f.store.line("store serves on ")
	t.Cleanup(f.neverBack)
	return f
}

// neverBack checks that no process put an older version in force than one it
// had before.
func (f *fleet) neverBack() {
	for _, n := range f.nodes {
		last := uint64(0)
		for _, e := range n.events(event.VersionApplied) {
			if e.Version <= last {
				f.t.Errorf("%s put version %d in force after %d", n.name, e.Version, last)
			}
			last = e.Version
		}
	}
}

// fault tells the store what goes wrong from now on.
func (f *fleet) fault(body string) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.at+"/fault", "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		f.t.Fatalf("fault %s: status %d", body, resp.StatusCode)
	}
}

// storeCalls returns how many calls of a kind reached the store.
func (f *fleet) storeCalls(kind string) int {
	resp, err := http.Get("http://" + f.at + "/calls")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	calls := map[string]int{}
	if json.NewDecoder(resp.Body).Decode(&calls) != nil {
		return 0
	}
	return calls[kind]
}

// startTarget starts a stand-in target and returns it with its address.
func (f *fleet) startTarget(name string) (*process, string) {
	f.t.Helper()
	p := start(f.t, name, binaries.standin, "target", "-slots", "40")
	return p, p.line("target serves on ")
}

// startNode starts a node, beside a target if that is not "".
func (f *fleet) startNode(instance, domain, target string, more ...string) *node {
	f.t.Helper()
	store := f.at
	var mesh, peers *route
	if f.network != nil {
		// The store has a route of its own for each node, under the node's name
		// for whoever dials it, so that the cut sees both sides.
		mesh, peers = f.network.listen(domain), f.network.listen(domain)
		toStore := f.network.listen("store")
		toStore.leadTo(f.at)
		store = toStore.addr()
		more = append(more, "-advertise-mesh", mesh.addr(), "-advertise-peers", peers.addr())
	}
	args := []string{
		"node", "-instance", instance, "-failure-domain", domain, "-store", store, "-fleet-key", fleetKey,
		"-callers", "127.0.0.1:0", "-mesh", "127.0.0.1:0", "-peers", "127.0.0.1:0", "-admin", "127.0.0.1:0",
		"-operators", "127.0.0.1:0", "-operator-tokens", "ana:" + hash(anaToken) + ",bo:" + hash(boToken),
		"-drain-timeout", "20s",
	}
	if target != "" {
		args = append(args, "-pool", "walls", "-target", target)
	}
	n := &node{
		process:  start(f.t, instance, binaries.banyanlug, append(args, more...)...),
		instance: instance, domain: domain, target: target,
	}
	if f.network != nil {
		f.network.join(n.process, domain)
	}
	n.logged = n.awaitEvent(event.NodeStarted)
	if f.network != nil {
		mesh.leadTo(n.Mesh)
		peers.leadTo(n.Peers)
		n.peersRoute = peers
	}
	f.nodes = append(f.nodes, n)
	return n
}

// instances starts a target and a node for each domain named, as instance i1,
// i2 and so on, and waits until all are ready and know each other.
func (f *fleet) instances(domains ...string) []*node {
	f.t.Helper()
	var out []*node
	for i, d := range domains {
		beside, target := f.startTarget(fmt.Sprintf("t%d", i+1))
		n := f.startNode(fmt.Sprintf("i%d", i+1), d, target)
		n.beside = beside
		out = append(out, n)
	}
	f.met(out...)
	return out
}

// met waits until each of the nodes is ready and knows all of them.
func (f *fleet) met(nodes ...*node) {
	f.t.Helper()
	for _, n := range nodes {
		until(f.t, n.name+" is ready and knows the others", func() bool {
			return n.ready() && n.metric("banyanlug_members") >= uint64(len(nodes))
		}, processes(nodes)...)
	}
}

func processes(nodes []*node) []*process {
	var out []*process
	for _, n := range nodes {
		out = append(out, n.process)
	}
	return out
}

func (n *node) ready() bool {
	resp, err := http.Get("http://" + n.Admin + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// metric returns a metric's value, or 0 if the node does not tell it.
func (n *node) metric(name string) uint64 {
	resp, err := http.Get("http://" + n.Admin + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	var sum float64
	for line := range strings.Lines(string(b)) {
		if strings.HasPrefix(line, name+" ") || strings.HasPrefix(line, name+"{") {
			v, _ := strconv.ParseFloat(strings.TrimSpace(line[strings.LastIndex(line, " "):]), 64)
			sum += v
		}
	}
	return uint64(sum)
}

// runs returns how often the target beside the node ran a call, by its key.
func (n *node) runs() map[string]int {
	resp, err := http.Get("http://" + n.target + "/standin/runs")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	runs := map[string]int{}
	if json.NewDecoder(resp.Body).Decode(&runs) != nil {
		return nil
	}
	return runs
}

// busy returns how many calls run at the target beside the node.
func (n *node) busy() int {
	resp, err := http.Get("http://" + n.target + "/load")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var load struct {
		Busy int `json:"busy"`
	}
	if json.NewDecoder(resp.Body).Decode(&load) != nil {
		return 0
	}
	return load.Busy
}

func (n *node) version() uint64 { return n.metric("banyanlug_config_version") }

// rank returns the node's last place in its failure domain's tree; the root's
// place is the one that a node has at first and does not log.
func (n *node) rank() int {
	found := n.events(event.Placed)
	if len(found) == 0 {
		return 0
	}
	return found[len(found)-1].Rank
}

// root returns the one root among nodes of a failure domain, and the others.
func (f *fleet) root(nodes ...*node) (root *node, others []*node) {
	f.t.Helper()
	until(f.t, "there is one root", func() bool {
		root, others = nil, nil
		for _, n := range nodes {
			if n.rank() == 0 {
				root = n
			} else {
				others = append(others, n)
			}
		}
		return len(others) == len(nodes)-1
	}, processes(nodes)...)
	return root, others
}

// restart starts a node again in the slot of one that ended.
func (f *fleet) restart(n *node, more ...string) *node {
	f.t.Helper()
	again := f.startNode(n.instance, n.domain, n.target, more...)
	again.beside = n.beside
	return again
}

// holds waits until each of the nodes has a version in force.
func (f *fleet) holds(version uint64, nodes ...*node) {
	f.t.Helper()
	for _, n := range nodes {
		until(f.t, fmt.Sprintf("%s holds version %d", n.name, version), func() bool { return n.version() == version }, processes(nodes)...)
	}
}

// operator returns the environment of an operator who asks the given nodes.
func operator(token string, nodes ...*node) []string {
	var urls []string
	for _, n := range nodes {
		urls = append(urls, "http://"+n.Operators)
	}
	return []string{"BANYANLUG_TOKEN=" + token, "BANYANLUG_NODE=" + strings.Join(urls, ",")}
}

// file writes a file for a command to read.
func (f *fleet) file(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// decoded reads a command's JSON.
func decoded[T any](t *testing.T, r result) T {
	t.Helper()
	var v T
	if err := json.Unmarshal([]byte(r.out), &v); err != nil {
		t.Fatalf("%v in %q %s", err, r.out, r.errOut)
	}
	return v
}

type planned struct {
	ID string `json:"id"`
}

type confirmed struct {
	Version uint64 `json:"version"`
}

// failed is a command's failure as -json tells it.
type failed struct {
	Error struct {
		Type      string `json:"type"`
		Message   string `json:"message"`
		Conflicts []struct {
			Object  string `json:"object"`
			Version uint64 `json:"version"`
		} `json:"conflicts"`
	} `json:"error"`
}

// declare puts the tests' declarations in force as version 1.
func (f *fleet) declare(nodes ...*node) {
	f.t.Helper()
	f.file("declared/all.yaml", declarations)
	env := operator(anaToken, nodes[0])
	p := decoded[planned](f.t, command(f.t, env, "plan", "-json", filepath.Join(f.dir, "declared")).want(f.t, 0))
	command(f.t, env, "confirm", p.ID).want(f.t, 0)
	f.holds(1, nodes...)
}

// planEdit makes a plan of a further change and returns its id.
func (f *fleet) planEdit(at *node) string {
	f.t.Helper()
	f.edits++
	path := f.file(fmt.Sprintf("edit-%d.yaml", f.edits), edit(f.edits))
	return decoded[planned](f.t, command(f.t, operator(anaToken, at), "plan", "-json", "-set", path).want(f.t, 0)).ID
}

// change plans and confirms a further change and returns its version.
func (f *fleet) change(at *node) uint64 {
	f.t.Helper()
	id := f.planEdit(at)
	return decoded[confirmed](f.t, command(f.t, operator(anaToken, at), "confirm", "-json", id).want(f.t, 0)).Version
}

// answer is what one call came to.
type answer struct {
	status  int
	refusal string
	outcome string
	body    int
	err     error
}

// call makes one call at a node's callers' address.
func call(client *http.Client, n *node, method, path, key string) answer {
	req, err := http.NewRequest(method, "http://"+n.Callers+path, nil)
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: len(b), err: err}
	var refusal struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
		Outcome string `json:"outcome"`
	}
	if json.Unmarshal(b, &refusal) == nil {
		a.refusal, a.outcome = refusal.Error.Type, refusal.Outcome
	}
	return a
}

// whole reports whether a call got its whole answer.
func (a answer) whole(size int) bool { return a.err == nil && a.status == 200 && a.body == size }

// typed reports whether a call was told by type why it failed.
func (a answer) typed() bool { return a.err == nil && a.refusal != "" }

// load is a stream of calls at one node, several at once.
type load struct {
	mu      sync.Mutex
	answers []answer
	stop    chan struct{}
	wg      sync.WaitGroup
}

// startLoad calls a path at a node until end.
func startLoad(t *testing.T, n *node, path string, atOnce int) *load {
	l := &load{stop: make(chan struct{})}
	for range atOnce {
		l.wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				a := call(client, n, http.MethodGet, path, "")
				l.mu.Lock()
				l.answers = append(l.answers, a)
				l.mu.Unlock()
			}
		})
	}
	t.Cleanup(func() { l.end() })
	return l
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

// more waits until n further calls have ended.
func (l *load) more(t *testing.T, n int) {
	t.Helper()
	want := l.count() + n
	until(t, fmt.Sprintf("%d more calls end", n), func() bool { return l.count() >= want })
}

// end stops the calls and returns what came of all of them.
func (l *load) end() []answer {
	l.mu.Lock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	l.wg.Wait()
	return slices.Clone(l.answers)
}

// knowsOf returns the state in which a node's status shows another, or "" if
// it does not show it.
func (n *node) knowsOf(f *fleet, other *node) string {
	f.t.Helper()
	var st struct {
		Nodes []struct {
			Name  string `json:"name"`
			State string `json:"state"`
		} `json:"nodes"`
	}
	r := command(f.t, operator(anaToken, n), "status", "-json")
	if r.code != 0 || json.Unmarshal([]byte(r.out), &st) != nil {
		return "unknown"
	}
	for _, shown := range st.Nodes {
		if shown.Name == other.instance {
			return shown.State
		}
	}
	return ""
}

// heldWhenReady waits until the node is ready and returns the version that it
// had in force at that moment, by the order of its log.
func (n *node) heldWhenReady() uint64 {
	n.awaitEvent(event.NodeReady)
	held := uint64(0)
	for _, line := range n.output() {
		var e logged
		if json.Unmarshal([]byte(line), &e) != nil {
			continue
		}
		if e.Event == event.NodeReady {
			break
		}
		if e.Event == event.VersionApplied {
			held = e.Version
		}
	}
	return held
}
