package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The ports of each machine. The machines have addresses of their own in 127.0.0.0/8.
const (
	appPort = iota
	inboundPort
	outboundPort
	readyPort
	controlPort
	firstInternalPort
	portCount = firstInternalPort + 16
)

// machine is one sidecar machine: a node and the upstream beside it.
type machine struct {
	name, zone, service, ip string
	node, upstream          *exec.Cmd
	starts                  int // of the upstream
}

// fleet is a small deployment on loopback.
type fleet struct {
	dir      string
	rec      *recorder
	store    *store
	base     int // first port
	machines []*machine
	zones    []string
	work     map[string]time.Duration // of a service's requests
	bounds   string                   // lines of [policy.bounds]
	contract string

	mu      sync.Mutex
	runs    []run
	stopped map[*exec.Cmd]bool // ended by the script
	ended   []string           // nodes that ended by themselves
	wg      sync.WaitGroup
}

func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, rec: rec, work: map[string]time.Duration{}, stopped: map[*exec.Cmd]bool{}}
	if f.base, err = freePorts(); err != nil {
		return nil, err
	}
	f.store, err = startStore("127.0.0.1:0")
	return f, err
}

// freePorts returns the first of portCount ports that nobody uses.
func freePorts() (int, error) {
	for base := 21000 + os.Getpid()%500*20; base < 60000; base += 977 {
		free := true
		for p := range portCount {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.31.7.11:%d", base+p))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func (f *fleet) add(name, zone, service string) *machine {
	m := &machine{name: name, zone: zone, service: service, ip: fmt.Sprintf("127.31.7.%d", 11+len(f.machines))}
	f.machines = append(f.machines, m)
	known := false
	for _, z := range f.zones {
		known = known || z == zone
	}
	if !known {
		f.zones = append(f.zones, zone)
	}
	return m
}

func (f *fleet) addr(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, f.base+port) }

// writeSettings writes the settings file of a machine, in the form of the platform.
func (f *fleet) writeSettings(m *machine) (string, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[self]\nnodeName = %q\nrole = \"node\"\nmachineClass = \"sidecar\"\nserves = [\"sidecar\"]\nip = %q\nzone = %q\nregion = \"r1\"\n", m.name, m.ip, m.zone)
	fmt.Fprintf(&b, "inTolerance = false\nbootstrap = true\nappAddr = %q\nservice = %q\n", f.addr(m, appPort), m.service)
	fmt.Fprint(&b, "[self.limits]\ncpuShare = 0.32\ncpuCores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n")
	fmt.Fprintf(&b, "[network]\ninternalPorts = [%d,%d]\nseeds = []\n", f.base+firstInternalPort, f.base+portCount-1)
	fmt.Fprintf(&b, "[network.listenAddrs]\ninbound = %q\noutbound = %q\nready = %q\ncontrol = %q\n[network.zones]\n",
		f.addr(m, inboundPort), f.addr(m, outboundPort), f.addr(m, readyPort), f.addr(m, controlPort))
	for _, z := range f.zones {
		fmt.Fprintf(&b, "%s = \"r1\"\n", z)
	}
	fmt.Fprint(&b, "[provider]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeatS = 1.5\n")
	fmt.Fprintf(&b, "[provider.provider]\naddress = %q\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinS = 1\n", f.store.addr)
	fmt.Fprintf(&b, "[policy]\ncontracts = [%s]\n[policy.faultTolerance]\nnodes = 2\nzones = 1\nregions = 0\n[policy.bounds]\n%s", f.contract, f.bounds)
	file := filepath.Join(f.dir, m.name+".toml")
	return file, os.WriteFile(file, b.Bytes(), 0o600)
}

// startNode starts the node of a machine as the deploy file says.
func (f *fleet) startNode(m *machine) error {
	file, err := f.writeSettings(m)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/resident", "resident")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "BANYANLUG_SETTINGS=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	m.node = cmd
	f.rec.event("node started", "machine", m.name, "pid", cmd.Process.Pid)
	f.wg.Go(func() {
		err := cmd.Wait()
		_ = out.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.stopped[cmd] {
			f.ended = append(f.ended, fmt.Sprintf("%s: %v", m.name, err))
		}
	})
	return nil
}

// startUpstream starts the upstream of a machine, each time under a new id.
func (f *fleet) startUpstream(m *machine) error {
	m.starts++
	id := fmt.Sprintf("i-%s-%d", m.name, m.starts)
	cmd := exec.Command(os.Args[0], "upstream", "-id", id, "-service", m.service, "-zone", m.zone,
		"-addr", f.addr(m, appPort), "-control", f.addr(m, controlPort), "-work", max(f.work[m.service], time.Millisecond).String())
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	m.upstream = cmd
	f.rec.event("upstream started", "machine", m.name, "id", id, "service", m.service, "pid", cmd.Process.Pid)
	f.wg.Go(func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var r run
			if json.Unmarshal(lines.Bytes(), &r) != nil {
				continue
			}
			f.mu.Lock()
			f.runs = append(f.runs, r)
			f.mu.Unlock()
			f.rec.line(lines.Bytes())
		}
		_ = cmd.Wait()
	})
	return nil
}

func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := errors.Join(f.startNode(m), f.startUpstream(m)); err != nil {
			return err
		}
	}
	return f.awaitReady(20 * time.Second)
}

// awaitReady waits until each node says that it is ready.
func (f *fleet) awaitReady(d time.Duration) error {
	until := time.Now().Add(d)
	for _, m := range f.machines {
		for !f.ready(m) {
			if time.Now().After(until) {
				return fmt.Errorf("node %s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) ready(m *machine) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + f.addr(m, readyPort) + "/banyanlug/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to a process that the script has started.
func (f *fleet) signal(cmd *exec.Cmd, s syscall.Signal) {
	if cmd == nil || cmd.Process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		f.mu.Lock()
		f.stopped[cmd] = true
		f.mu.Unlock()
	}
	_ = cmd.Process.Signal(s)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close(keep bool) {
	for _, m := range f.machines {
		f.signal(m.node, syscall.SIGKILL)
		f.signal(m.upstream, syscall.SIGKILL)
	}
	f.wg.Wait()
	if f.store != nil {
		_ = f.store.server.Close()
	}
	if !keep {
		_ = os.RemoveAll(f.dir)
	}
}

// allRuns returns what the upstreams have recorded so far.
func (f *fleet) allRuns() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}

func (f *fleet) endedThemselves() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.ended...)
}

// recorder writes record.txt.
type recorder struct {
	mu sync.Mutex
	w  *bufio.Writer
}

func newRecorder(w io.Writer) *recorder { return &recorder{w: bufio.NewWriter(w)} }

func (r *recorder) line(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.w.Write(b)
	_ = r.w.WriteByte('\n')
}

// event records an event with names and values.
func (r *recorder) event(what string, pairs ...any) {
	fields := map[string]any{"at_ms": time.Now().UnixMilli(), "event": what}
	for i := 0; i+1 < len(pairs); i += 2 {
		fields[fmt.Sprint(pairs[i])] = pairs[i+1]
	}
	b, _ := json.Marshal(fields)
	r.line(b)
}

// say records a line of text and prints it.
func (r *recorder) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	r.line([]byte("# " + text))
}

func (r *recorder) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
}
