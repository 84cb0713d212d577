package hop

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// maxIdleBytes bounds the heap that both ends of an idle connection hold. One buffer of
// 2 KiB more on either side exceeds it.
const maxIdleBytes = 4 << 10

// A node has hundreds of idle connections. Buffers that they keep between calls would
// count as memory of each node.
func TestIdleConnectionsHoldNoBuffers(t *testing.T) {
	const conns = maxIdlePerPeer
	clk, stop := timer.Start()
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	ln, err := http1.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The handler responds once all calls run, so that each has its own connection.
	var running sync.WaitGroup
	running.Add(conns)
	srv := http1.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		running.Done()
		running.Wait()
		_, _ = io.WriteString(w, "served")
	}), clk)
	served := make(chan error, 1)
	go srv.Serve(ctx, ln, served)
	client := NewClient(clk)
	ended := make(chan error, 1)
	go client.Run(ctx, ended)
	defer func() {
		cancel()
		<-served
		<-ended
	}()

	to := netip.MustParseAddrPort(ln.Addr().String())
	before := heapBytes()
	errs := make(chan error, conns)
	for range conns {
		go func() { errs <- call(ctx, client, to, clk.Now().Add(10*time.Second)) }()
	}
	for range conns {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
	s := client.shard(to)
	s.mu.Lock()
	idle := len(s.idle[to])
	for _, pc := range s.idle[to] {
		if pc.buffers != nil {
			t.Error("an idle connection of a client holds buffers")
		}
	}
	s.mu.Unlock()
	if idle != conns {
		t.Fatalf("%d idle connections, want %d", idle, conns)
	}
	// The server returns its buffers after the client has read the response.
	perConn := 0
	for range 50 {
		if perConn = (heapBytes() - before) / conns; perConn <= maxIdleBytes {
			break
		}
		_ = clk.Sleep(ctx, 20*time.Millisecond)
	}
	t.Logf("%d bytes on the heap for both ends of an idle connection", perConn)
	if perConn > maxIdleBytes {
		t.Errorf("an idle connection holds %d bytes, want at most %d", perConn, maxIdleBytes)
	}
}

func call(ctx context.Context, client *Client, to netip.AddrPort, deadline time.Time) error {
	res, err := client.Do(ctx, to, NewRequest(http.MethodGet, "/", "a", http.Header{}, None{}), deadline)
	if err != nil {
		return err
	}
	defer res.Close()
	_, err = io.Copy(io.Discard, res)
	return err
}

// heapBytes returns the size of live objects. Two collections empty the buffer pools.
func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
