package fleet

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/control/bounded"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// Guards against a version that is late because the nodes that have announced it are silent,
// against reads of a version that a node has received and refused, and against a node that is
// given up for a store that does not answer.
func TestAVersionThatNoNodeDeliversIsReadFromTheStore(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name          string
		silent, other int    // sources that don't answer, and that have another version
		other2        string // what the latter have as version 2, if anything
		late, refused bool   // they are slow, and the store refuses
		version       uint64
		calls         int // of the store
	}{
		{name: "no source answers", silent: 3, version: 2, calls: 1},
		{name: "the sources that answer don't have it", silent: 1, other: 2, version: 2, calls: 1},
		{name: "it is refused", other: 1, other2: "none"},
		{name: "a source delivers it", silent: 1, other: 1, other2: "2", version: 2},
		{name: "a slow source delivers it, and the store does not", other: 1, other2: "2", late: true, refused: true, version: 2, calls: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.store.put(configKey, []byte("2"))
			h.store.set(func() { h.store.unavailable = tc.refused })
			f := New(h.store, h.clk, membership.NewRecord("self"), configKey, decodeNumber)
			defer f.pooledHTTP.CloseIdleConnections()
			var from []versionSource
			for i := range tc.silent + tc.other {
				other := New(newFakeStore(h.clk), h.clk, membership.NewRecord("other"), configKey, decodeNumber)
				if tc.other2 != "" {
					other.offer(2, compress([]byte(tc.other2)), 1, "a test")
				}
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if i < tc.silent {
						_, _ = io.Copy(io.Discard, r.Body)
						<-r.Context().Done()
						return
					}
					if tc.late {
						_ = h.clk.Sleep(r.Context(), silentFetch+fetchHedgeDelay)
					}
					other.Handler().ServeHTTP(w, r)
				}))
				defer srv.Close()
				from = append(from, versionSource{peer: netip.MustParseAddrPort(srv.Listener.Addr().String())})
			}
			f.fetchVersion(t.Context(), from, 2)
			if v := f.Current().Version(); v != tc.version || h.store.calls != tc.calls {
				t.Errorf("version %d after %d calls of the store, want version %d after %d", v, h.store.calls, tc.version, tc.calls)
			}
		})
	}
}

// Guards against a process at a node's address that answers without end and uses up the memory of
// the nodes that ask it.
func TestAnAnswerWithoutEndIsCutOff(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	f := New(h.store, h.clk, membership.NewRecord("self"), configKey, decodeNumber)
	defer f.pooledHTTP.CloseIdleConnections()
	const whole = 64 << 20
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for part := make([]byte, 64<<10); sent.Load() < whole; {
			n, err := w.Write(part)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
		<-r.Context().Done()
	}))
	defer srv.Close()
	address := netip.MustParseAddrPort(srv.Listener.Addr().String())
	for _, c := range []*http.Client{f.pooledHTTP, f.oneShotHTTP} {
		sent.Store(0)
		_, err := f.requestView(t.Context(), c, address, 0, true, 5*time.Second)
		var tooLong *bounded.TooLongError
		if !errors.As(err, &tooLong) || sent.Load() >= whole {
			t.Errorf("%d bytes were sent, error %v", sent.Load(), err)
		}
	}
}
