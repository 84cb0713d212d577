package command

import (
	"context"
	"encoding/pem"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/cli/app"
	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/declaration"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/operator"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/standin/store"
)

// leakCheckedTests runs the tests and then fails on leaked goroutines.
type leakCheckedTests struct{ m *testing.M }

func (l leakCheckedTests) Run() int {
	code := l.m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}

func TestMain(m *testing.M) {
	testscript.Main(leakCheckedTests{m}, map[string]func(){
		name: func() { os.Exit(New().Run(context.Background(), os.Args[1:])) },
	})
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fleet is three nodes: one unresponsive, one behind the newest version.
type fleet struct {
	mu             sync.Mutex
	formatOutdated bool
}

func (f *fleet) Nodes(context.Context) ([]operator.Node, error) {
	return []operator.Node{
		{Name: "n1", Domain: "songino", Version: 1, State: "ready", Age: time.Second, Format: 1},
		{Name: "n2", Domain: "khan-uul", Version: 1, State: "draining", Age: 35 * time.Second, Format: 1},
		{Name: "n3", Domain: "khan-uul", Version: 0, State: "ready", Age: time.Second, Format: 1},
	}, nil
}

func (f *fleet) LowestFormat(context.Context) (uint32, string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.formatOutdated {
		return 0, "n3", nil
	}
	return snapshot.FormatLevel, "n3", nil
}

// testNode is the node that a script's commands connect to.
type testNode struct {
	store   *store.Store
	fleet   *fleet
	service *operator.Service
	clock   *timer.Service
	active  atomic.Pointer[snapshot.Snapshot]
}

// startTestNode starts a node whose store holds the khadtai example; no version is
// active on the node yet.
func startTestNode(env *testscript.Env) error {
	set, err := declaration.Load(os.DirFS(env.Getenv("EXAMPLES") + "/khadtai"))
	if err != nil {
		return err
	}
	n := &testNode{fleet: &fleet{}, clock: timer.NewManual(start)}
	n.store = store.New(n.clock)
	n.active.Store(snapshot.Empty())
	log := publish.New(n.store, n.clock, publish.ResolveTimeout(0))
	n.service = operator.New(operator.FromLog(log), n.fleet, operator.Clock(n.clock), operator.Random(rand.NewChaCha8([32]byte{1})),
		operator.ActiveVersion(n.active.Load))
	if err := n.apply("setup", operator.NewFullSet(set.Objects())); err != nil {
		return err
	}
	key := keyWithHash("s3cret")
	token, err := operator.ParseToken("ana:" + key.Hash)
	if err != nil {
		return err
	}
	srv := httptest.NewServer(operator.NewHandler(n.service, token))
	env.Defer(srv.Close)
	secure := httptest.NewTLSServer(srv.Config.Handler)
	env.Defer(secure.Close)
	env.Setenv("SECURE_NODE", secure.URL)
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw})
	if err := os.WriteFile(filepath.Join(env.WorkDir, "ca.pem"), cert, 0o600); err != nil {
		return err
	}
	env.Setenv("BANYANLUG_NODE", srv.URL)
	env.Setenv("BANYANLUG_TOKEN", "s3cret")
	env.Values["node"] = n
	return nil
}

func (n *testNode) apply(operatorName string, intent operator.Intent) error {
	p, err := n.service.Plan(context.Background(), operatorName, intent)
	if err != nil {
		return err
	}
	_, err = n.service.Confirm(context.Background(), operatorName, p.ID())
	return err
}

// expectExitCode runs a command and checks its exit code.
func expectExitCode(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if got != want || neg {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// setFault replaces the injected fault: "down" makes the store unavailable,
// "lost" loses requests to swap the head, "old" makes one node support only an
// older format level, and "none" removes the fault.
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	n := ts.Value("node").(*testNode)
	n.store.SetDown(args[0] == "down")
	n.store.SetFaultPlan(func(c store.Call) store.Fault {
		if args[0] == "lost" && c.Kind() == platform.KindCompareAndSwap && strings.HasSuffix(c.Key(), "head") {
			return store.LoseRequest
		}
		return store.Pass
	})
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.fleet.formatOutdated = args[0] == "old"
}

// activateNewest makes the store's newest version active on the node.
func activateNewest(ts *testscript.TestScript, _ bool, _ []string) {
	n := ts.Value("node").(*testNode)
	s, err := n.service.Newest(context.Background())
	ts.Check(err)
	n.active.Store(s)
}

// applyAsOther confirms a file's objects as another operator.
func applyAsOther(ts *testscript.TestScript, _ bool, args []string) {
	set, err := declaration.Decode(args[0], []byte(ts.ReadFile(args[0])))
	ts.Check(err)
	ts.Check(ts.Value("node").(*testNode).apply("bo", operator.NewEdit(set.Objects(), nil)))
}

// advanceClock advances the node's clock by a duration.
func advanceClock(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	ts.Value("node").(*testNode).clock.Advance(d)
}

func TestScripts(t *testing.T) {
	t.Parallel()
	examples, err := filepath.Abs("../../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			// By default the race detector makes each command wait for a second
			// at exit.
			env.Setenv("GORACE", "atexit_sleep_ms=50")
			return startTestNode(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": expectExitCode, "fault": setFault, "apply-as-other": applyAsOther, "advance": advanceClock, "activate": activateNewest,
		},
	})
}

func TestAddedSubcommandReadsEnvironmentAndMapsExitCodes(t *testing.T) {
	t.Setenv("BANYANLUG_WORD", "from the environment")
	var stdout, stderr strings.Builder
	a := New(app.Streams(strings.NewReader(""), &stdout, &stderr), app.Subcommand(func(a *app.App) *ffcli.Command {
		fs := a.Flags("echo")
		word := fs.String("word", "", "a `word`")
		return &ffcli.Command{Name: "echo", FlagSet: fs, Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return &app.SettingError{Setting: "word", Reason: "is given as a flag"}
			}
			_, err := fmt.Fprint(a.Stdout(), *word)
			return err
		}}
	}))
	if code := a.Run(context.Background(), []string{"echo"}); code != app.ExitDone || stdout.String() != "from the environment" {
		t.Errorf("got %d, %q, %q", code, stdout.String(), stderr.String())
	}
	if code := a.Run(context.Background(), []string{"echo", "x"}); code != app.ExitUsage || !strings.Contains(stderr.String(), "-word (BANYANLUG_WORD): ") {
		t.Errorf("got %d, %q", code, stderr.String())
	}
}
