package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// network is what lies between the processes: each connection to a node's
// control or mesh address, or to the store, goes through it, and it can cut two
// sides apart. Bytes of a cut connection wait, as those of a network that loses
// packets do; nothing is refused or reset.
type network struct {
	t  *testing.T
	mu sync.Mutex
	// owner names who is at each process id.
	owner map[int]string
	apart func(from, to string) bool
	// healed is closed and made anew when the cuts change.
	healed chan struct{}
	ended  chan struct{}
	wg     sync.WaitGroup
}

func newNetwork(t *testing.T) *network {
	n := &network{
		t: t, owner: map[int]string{}, apart: func(string, string) bool { return false },
		healed: make(chan struct{}), ended: make(chan struct{}),
	}
	t.Cleanup(func() {
		close(n.ended)
		n.wg.Wait()
	})
	return n
}

// join tells who is at a process.
func (n *network) join(p *process, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owner[p.cmd.Process.Pid] = name
}

// cut keeps apart whom a function says; nil heals all.
func (n *network) cut(apart func(from, to string) bool) {
	if apart == nil {
		apart = func(string, string) bool { return false }
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.apart = apart
	close(n.healed)
	n.healed = make(chan struct{})
}

// listen returns an address that leads to what to is set to.
func (n *network) listen(name string) *route {
	n.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	r := &route{n: n, name: name, ln: ln, to: make(chan string, 1)}
	n.wg.Go(r.accept)
	n.wg.Go(func() {
		<-n.ended
		ln.Close()
	})
	return r
}

// route is one address on the network.
type route struct {
	n    *network
	name string
	ln   net.Listener
	to   chan string
}

func (r *route) addr() string { return r.ln.Addr().String() }

// leadTo sets the address behind the route.
func (r *route) leadTo(addr string) { r.to <- addr }

func (r *route) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.n.wg.Go(func() { r.carry(c) })
	}
}

func (r *route) carry(c net.Conn) {
	defer c.Close()
	from := r.n.ownerOf(c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	if !r.n.passable(from, r.name) {
		return
	}
	addr := <-r.to
	r.to <- addr
	out, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer out.Close()
	both := make(chan struct{}, 2)
	pump := func(to, src net.Conn) {
		defer func() { both <- struct{}{} }()
		b := make([]byte, 32<<10)
		for {
			k, err := src.Read(b)
			if k > 0 && (!r.n.passable(from, r.name) || !wrote(to, b[:k])) || err != nil {
				return
			}
		}
	}
	r.n.wg.Go(func() { pump(out, c) })
	r.n.wg.Go(func() { pump(c, out) })
	select {
	case <-both:
	case <-r.n.ended:
	}
}

func wrote(w io.Writer, b []byte) bool {
	_, err := w.Write(b)
	return err == nil
}

// passable waits while two are apart, and reports false once the test ends.
func (n *network) passable(from, to string) bool {
	for {
		n.mu.Lock()
		apart, healed := n.apart(from, to), n.healed
		n.mu.Unlock()
		if !apart {
			return true
		}
		select {
		case <-healed:
		case <-n.ended:
			return false
		}
	}
}

// ownerOf returns who holds the other end of a loopback connection, by the
// kernel's table of sockets, as all dial from one address.
func (n *network) ownerOf(port, local int) string {
	inode := socketInode(port, local)
	n.mu.Lock()
	defer n.mu.Unlock()
	for pid, name := range n.owner {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, l := range links {
			if to, err := os.Readlink(l); err == nil && to == "socket:["+inode+"]" {
				return name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the socket that is bound to a port and
// connected to another, in the fields of /proc/net/tcp.
func socketInode(port, remote int) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	// The table is long on a machine that has run tests for a while, and most
	// lines are of other ports.
	mark := fmt.Sprintf(":%04X ", port)
	for s := bufio.NewScanner(f); s.Scan(); {
		if !strings.Contains(s.Text(), mark) {
			continue
		}
		fields := strings.Fields(s.Text())
		if len(fields) > 9 && portOf(fields[1]) == port && portOf(fields[2]) == remote {
			return fields[9]
		}
	}
	return ""
}

func portOf(field string) int {
	_, hex, _ := strings.Cut(field, ":")
	v, err := strconv.ParseInt(hex, 16, 32)
	if err != nil {
		return -1
	}
	return int(v)
}
