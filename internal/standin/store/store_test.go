package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// world is a stand-in with one way to call it.
type world struct {
	clock *timer.Service
	store *Store
	calls platform.Store
	addr  string
}

func inProcess(*testing.T) *world {
	clock := timer.NewManual(start)
	s := New(clock)
	return &world{clock: clock, store: s, calls: s}
}

func overHTTP(t *testing.T) *world {
	w := inProcess(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go NewServer(w.store).Run(ctx, l, done)
	c, err := platform.Dial(l.Addr().String(), platform.WithTimeout(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("the server ended with %v", err)
		}
	})
	w.calls, w.addr = c, l.Addr().String()
	return w
}

// step is one call and what it should give: a value, a revision or the name of
// an error type.
type step struct {
	name string
	do   func(w *world) (any, error)
	want string
}

func get(key string) func(*world) (any, error) {
	return func(w *world) (any, error) {
		v, err := w.calls.Get(context.Background(), key)
		return string(v.Data()), err
	}
}

func put(key string, revision uint64, value string, opts ...platform.WriteOption) func(*world) (any, error) {
	return func(w *world) (any, error) {
		return w.calls.CompareAndSwap(context.Background(), key, revision, []byte(value), opts...)
	}
}

func remove(key string, revision uint64) func(*world) (any, error) {
	return func(w *world) (any, error) {
		return w.calls.CompareAndSwap(context.Background(), key, revision, nil)
	}
}

func grant(ttl time.Duration) func(*world) (any, error) {
	return func(w *world) (any, error) { return w.calls.Grant(context.Background(), ttl) }
}

func alive(id platform.LeaseID) func(*world) (any, error) {
	return func(w *world) (any, error) { return "", w.calls.KeepAlive(context.Background(), id) }
}

func revoke(id platform.LeaseID) func(*world) (any, error) {
	return func(w *world) (any, error) { return "", w.calls.Revoke(context.Background(), id) }
}

func watch(key string, revision uint64) func(*world) (any, error) {
	return func(w *world) (any, error) {
		v, err := w.calls.Watch(context.Background(), key, revision, 0)
		return string(v.Data()), err
	}
}

func fault(f func(w *world)) func(*world) (any, error) {
	return func(w *world) (any, error) {
		f(w)
		return "", nil
	}
}

func advance(d time.Duration) func(*world) (any, error) {
	return fault(func(w *world) { w.clock.Advance(d) })
}

func TestCalls(t *testing.T) {
	t.Parallel()
	var img *Image
	lease := platform.WithLease(1)
	tests := map[string][]step{
		"compare and swap": {
			{"no value yet", get("a/b"), "*platform.NotFoundError"},
			{"create", put("a/b", 0, "one"), "1"},
			{"create again", put("a/b", 0, "two"), "*platform.ConflictError a/b 0 1"},
			{"read", get("a/b"), "one"},
			{"stale write", put("a/b", 7, "two"), "*platform.ConflictError a/b 7 1"},
			{"write", put("a/b", 1, "two"), "2"},
			{"an empty value is a value", put("a/b", 2, ""), "3"},
			{"read empty", get("a/b"), ""},
			{"stale delete", remove("a/b", 2), "*platform.ConflictError a/b 2 3"},
			{"delete", remove("a/b", 3), "4"},
			{"gone", get("a/b"), "*platform.NotFoundError"},
			{"odd key", put("a b/%2F?é", 0, "x"), "5"},
			{"odd key read", get("a b/%2F?é"), "x"},
			{"largest", put("big", 0, strings.Repeat("x", platform.MaxValueBytes)), "6"},
			{"too large", put("big", 6, strings.Repeat("x", platform.MaxValueBytes+1)), "*platform.TooLargeError"},
		},
		"leases": {
			{"grant", grant(time.Second), "1"},
			{"tied key", put("k", 0, "v", lease), "1"},
			{"most of its time", advance(900 * time.Millisecond), ""},
			{"kept alive", alive(1), ""},
			{"past its first time", advance(900 * time.Millisecond), ""},
			{"still there", get("k"), "v"},
			{"past its time", advance(100 * time.Millisecond), ""},
			{"gone", get("k"), "*platform.NotFoundError"},
			{"lapsed", alive(1), "*platform.LeaseExpiredError"},
			{"no writes on it", put("k", 0, "v", lease), "*platform.LeaseExpiredError"},
			{"another", grant(time.Second), "2"},
			{"tied", put("k", 0, "v", platform.WithLease(2)), "3"},
			{"overwritten without", put("k", 3, "w"), "4"},
			{"revoke", revoke(2), ""},
			{"keeps what others wrote", get("k"), "w"},
			{"revoke again", revoke(2), "*platform.LeaseExpiredError"},
		},
		"a lease lapses while its holder is paused": {
			{"grant", grant(time.Hour), "1"},
			{"tied key", put("k", 0, "v", lease), "1"},
			{"lapse", fault(func(w *world) { w.store.LapseAll() }), ""},
			{"holder wakes", alive(1), "*platform.LeaseExpiredError"},
			{"and writes", put("k", 1, "w", lease), "*platform.ConflictError k 1 0"},
		},
		"watches": {
			{"absent and changed", watch("k", 3), "*platform.NotFoundError"},
			{"absent and unchanged", watch("k", 0), "*platform.UnchangedError"},
			{"create", put("k", 0, "v"), "1"},
			{"changed", watch("k", 0), "v"},
			{"unchanged", watch("k", 1), "*platform.UnchangedError"},
		},
		"lost answers": {
			{"lose", fault(func(w *world) { w.store.LoseAnswers(2) }), ""},
			{"written, unknown", put("k", 0, "v"), "*platform.UnknownOutcomeError"},
			{"reads are not lost", get("k"), "v"},
			{"granted, unknown", grant(time.Hour), "*platform.UnknownOutcomeError"},
			{"over", put("k", 1, "w"), "2"},
			{"all lost", fault(func(w *world) { w.store.LoseShare(1, 7) }), ""},
			{"written, unknown again", put("k", 2, "x"), "*platform.UnknownOutcomeError"},
			{"read", get("k"), "x"},
		},
		"lost and late requests": {
			{"lose the request", plan(LoseRequest), ""},
			{"unknown", put("k", 0, "v"), "*platform.UnknownOutcomeError"},
			{"not written", get("k"), "*platform.NotFoundError"},
			{"be late", plan(Late), ""},
			{"unknown again", put("k", 0, "late"), "*platform.UnknownOutcomeError"},
			{"and again", put("k", 0, "later"), "*platform.UnknownOutcomeError"},
			{"not written yet", get("k"), "*platform.NotFoundError"},
			{"land", fault(func(w *world) { w.store.LandLate() }), ""},
			{"the first one won", get("k"), "late"},
		},
		"down": {
			{"create", put("k", 0, "v"), "1"},
			{"down", fault(func(w *world) { w.store.SetDown(true) }), ""},
			{"no read", get("k"), "*platform.UnavailableError"},
			{"no write", put("k", 1, "w"), "*platform.UnavailableError"},
			{"no watch", watch("k", 1), "*platform.UnavailableError"},
			{"no lease", grant(time.Second), "*platform.UnavailableError"},
			{"up", fault(func(w *world) { w.store.SetDown(false) }), ""},
			{"nothing was written", get("k"), "v"},
		},
		"rates": {
			{"ten writes a second, none at once", fault(func(w *world) { w.store.SetRates(10, 20) }), ""},
			{"one", put("a", 0, "v"), "1"},
			{"two", put("b", 0, "v"), "*platform.UnavailableError *platform.RateLimitedError"},
			{"read one", get("a"), "v"},
			{"read two", get("a"), "v"},
			{"read three", get("a"), "*platform.UnavailableError *platform.RateLimitedError"},
			{"wait", advance(100 * time.Millisecond), ""},
			{"three", put("b", 0, "v"), "2"},
		},
		"an older state is put back": {
			{"create", put("k", 0, "old"), "1"},
			{"grant", grant(time.Second), "1"},
			{"tied", put("tied", 0, "v", lease), "2"},
			{"copy", fault(func(w *world) { img = w.store.Image() }), ""},
			{"write", put("k", 1, "new"), "3"},
			{"create another", put("other", 0, "v"), "4"},
			{"lapse", fault(func(w *world) { w.store.LapseAll() }), ""},
			{"roll back", fault(func(w *world) { w.store.Rollback(img) }), ""},
			{"old", get("k"), "old"},
			{"never was", get("other"), "*platform.NotFoundError"},
			{"a later revision", put("k", 1, "newer"), "6"},
			{"the lease is back", get("tied"), "v"},
			{"for its time", advance(time.Second), ""},
			{"and gone", get("tied"), "*platform.NotFoundError"},
			{"another store's copy", fault(func(w *world) { w.store.Rollback(copyOf(w, "a", "b", "c", "d", "e")) }), ""},
			{"its keys are found", get("a"), "a"},
			{"each of them", get("e"), "e"},
		},
	}
	for name, steps := range tests {
		// A story's image belongs to one run of it, so the two run in turn.
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t, "in process", inProcess(t), steps)
			play(t, "over HTTP", overHTTP(t), steps)
		})
	}
}

// copyOf returns the copy of another store, which spreads keys otherwise.
func copyOf(w *world, keys ...string) *Image {
	other := New(w.clock)
	for _, k := range keys {
		if _, err := other.swap(k, 0, []byte(k), 0); err != nil {
			panic(err)
		}
	}
	return other.Image()
}

func plan(f Fault) func(*world) (any, error) {
	return fault(func(w *world) {
		w.store.SetPlan(func(c Call) Fault {
			if c.Kind().Write() {
				return f
			}
			return Pass
		})
	})
}

func play(t *testing.T, way string, w *world, steps []step) {
	t.Helper()
	for _, s := range steps {
		got, err := s.do(w)
		text := fmt.Sprint(got)
		if err != nil {
			text = describe(err)
		}
		if diff := cmp.Diff(s.want, text); diff != "" {
			t.Fatalf("%s: %s: %v\n%s", way, s.name, err, diff)
		}
	}
}

func describe(err error) string {
	text := fmt.Sprintf("%T", err)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		text += fmt.Sprintf(" %s %d %d", conflict.Key, conflict.Want, conflict.Current)
	}
	var limited *platform.RateLimitedError
	if errors.As(err, &limited) {
		text += fmt.Sprintf(" %T", limited)
	}
	return text
}

// A reader waits for the next version. It gets the value as soon as another
// writes it, is told at once when the store goes down, and is not held by the
// server's shutdown.
func TestWaitingWatchEndsWithTheChange(t *testing.T) {
	t.Parallel()
	ends := map[string]struct {
		end  func(w *world) error
		want string
	}{
		"a write": {func(w *world) error {
			_, err := w.store.CompareAndSwap(context.Background(), "k", 1, []byte("new"))
			return err
		}, "new"},
		"down":       {func(w *world) error { w.store.SetDown(true); return nil }, "*platform.UnavailableError"},
		"the time":   {func(w *world) error { w.clock.Advance(time.Hour); return nil }, "*platform.UnchangedError"},
		"a rollback": {func(w *world) error { w.store.Rollback(New(w.clock).Image()); return nil }, "*platform.NotFoundError"},
	}
	for name, tt := range ends {
		for way, world := range map[string]func(*testing.T) *world{"in process": inProcess, "over HTTP": overHTTP} {
			t.Run(name+" "+way, func(t *testing.T) {
				t.Parallel()
				w := world(t)
				if _, err := put("k", 0, "old")(w); err != nil {
					t.Fatal(err)
				}
				got := make(chan string, 1)
				go func() {
					v, err := w.calls.Watch(context.Background(), "k", 1, 50*time.Second)
					if err != nil {
						got <- describe(err)
						return
					}
					got <- string(v.Data())
				}()
				awaitWatcher(w.store, "k")
				if err := tt.end(w); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(tt.want, <-got); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

func awaitWatcher(s *Store, key string) {
	sh := s.shard(key)
	for {
		sh.mu.Lock()
		_, ok := sh.changed[key]
		sh.mu.Unlock()
		if ok {
			return
		}
	}
}

func TestCallsAreCountedByKind(t *testing.T) {
	t.Parallel()
	w := overHTTP(t)
	for _, do := range []func(*world) (any, error){
		put("k", 0, "v"), get("k"), get("none"), watch("k", 0), grant(time.Hour), alive(1), revoke(1),
		put("k", 0, strings.Repeat("x", platform.MaxValueBytes+1)),
	} {
		// Failed calls count too, only those that were not sent don't.
		_, _ = do(w)
	}
	want := platform.Calls{
		platform.KindGet: 2, platform.KindSwap: 1, platform.KindWatch: 1,
		platform.KindGrant: 1, platform.KindKeepAlive: 1, platform.KindRevoke: 1,
	}
	for way, got := range map[string]platform.Calls{"store": w.store.Calls(), "client": w.calls.(*platform.Client).Calls()} {
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", way, diff)
		}
	}
	if want.Reads() != 3 || want.Writes() != 4 {
		t.Errorf("%d reads, %d writes", want.Reads(), want.Writes())
	}
}

func TestFaultEndpoint(t *testing.T) {
	t.Parallel()
	w := overHTTP(t)
	for _, tt := range []struct {
		body string
		want int
		then func(*world) (any, error)
		give string
	}{
		{`{"rollback":true}`, http.StatusConflict, put("k", 0, "old"), "1"},
		{`{"image":true}`, http.StatusNoContent, put("k", 1, "new"), "2"},
		{`{"rollback":true}`, http.StatusNoContent, get("k"), "old"},
		{`{"down":true}`, http.StatusNoContent, get("k"), "*platform.UnavailableError"},
		{`{"down":false,"lose_next":1}`, http.StatusNoContent, put("k", 1, "x"), "*platform.UnknownOutcomeError"},
		{`{"lose_share":1,"seed":3}`, http.StatusNoContent, grant(time.Hour), "*platform.UnknownOutcomeError"},
		{`{"lose_share":0,"lapse_lease":1}`, http.StatusNoContent, alive(1), "*platform.LeaseExpiredError"},
		{`{"lapse_all":true,"slow_ms":0}`, http.StatusNoContent, get("k"), "x"},
		{`{"reads_per_second":10}`, http.StatusBadRequest, get("k"), "x"},
		{`{"reads_per_second":10,"writes_per_second":10}`, http.StatusNoContent, get("k"), "x"},
		{`{"dwon":true}`, http.StatusBadRequest, get("k"), "*platform.UnavailableError *platform.RateLimitedError"},
	} {
		res, err := http.Post("http://"+w.addr+"/fault", "application/json", bytes.NewReader([]byte(tt.body)))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != tt.want {
			t.Errorf("%s: status %d, want %d", tt.body, res.StatusCode, tt.want)
		}
		play(t, tt.body, w, []step{{"then", tt.then, tt.give}})
	}
	http.DefaultClient.CloseIdleConnections()
}

// A slow store delays each call by the store's clock; a caller that gives up
// before its turn has changed nothing.
func TestSlowStore(t *testing.T) {
	t.Parallel()
	w := inProcess(t)
	w.store.SetSlow(time.Second)
	wrote := make(chan error, 1)
	go func() {
		_, err := put("k", 0, "v")(w)
		wrote <- err
	}()
	for begun := false; !begun; {
		begun = w.store.Calls().Of(platform.KindSwap) == 1
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := w.store.CompareAndSwap(ctx, "k", 0, []byte("given up"))
	if diff := cmp.Diff("*platform.UnavailableError", describe(err)); diff != "" {
		t.Error(diff)
	}
	select {
	case err := <-wrote:
		t.Fatalf("a slow write ended at once: %v", err)
	default:
	}
	for done := false; !done; {
		w.clock.Advance(time.Second)
		select {
		case err := <-wrote:
			if err != nil {
				t.Error(err)
			}
			done = true
		default:
		}
	}
	w.store.SetSlow(0)
	play(t, "then", w, []step{{"the first write", get("k"), "v"}})
}
