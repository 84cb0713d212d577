package issuer

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/issuer/issuerpb"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/token"
)

// oneIssuer is the view of a node whose failure domain has one other node.
type oneIssuer struct {
	issuer membership.Record
	snap   *snapshot.Snapshot
}

func (o oneIssuer) HighestRanked(string, int) []membership.Record {
	return []membership.Record{o.issuer}
}
func (o oneIssuer) Size() int                   { return 2 }
func (o oneIssuer) Current() *snapshot.Snapshot { return o.snap }

func encode(t testing.TB, r *issuerpb.TakeResponse) []byte {
	t.Helper()
	b, err := proto.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against whatever answers at an issuer's address: more calls than the node asked tokens for, a
// limit that refuses calls as used up though no issuer said so, long waits, and true answers of
// later that don't count.
func FuzzTakeResponse(f *testing.F) {
	for _, r := range []*issuerpb.TakeResponse{
		{}, {Tokens: 1}, {Tokens: 1 << 31}, {RetryAfterUs: 1000}, {RetryAfterUs: 1 << 63}, {RetryAfterUs: 1 << 40}, {Usage: 3}, {Usage: 1 << 31}, {Unlimited: true},
	} {
		b := encode(f, r)
		f.Add(b)
		f.Add(append(b, b...))
		f.Add(b[:len(b)/2])
	}
	clk := newClock()
	var answer []byte
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(answer)
	}))
	f.Cleanup(srv.Close)
	view := oneIssuer{membership.NewRecord("n1", membership.Domain("a"), membership.ControlAddress(netip.MustParseAddrPort(srv.Listener.Addr().String()))), acmeSnapshot(f)}
	f.Fuzz(func(t *testing.T, b []byte) {
		a := New(clk, view, view, "self", "a", []string{"a"}, WithMargin(margin))
		defer a.http.CloseIdleConnections()
		var resp issuerpb.TakeResponse
		readable := proto.Unmarshal(b, &resp) == nil
		answer = b
		allowed := 0
		for range 3 {
			switch d := a.Allow(clk.Now(), acme).(type) {
			case limit.Allowed:
				allowed++
			case limit.Refused:
				if d.RetryAfter() > token.MaxRetryAfter {
					t.Errorf("%x: refused for %v", b, d.RetryAfter())
				}
			}
		}
		if requests := int(a.Requests()); allowed > requests && !resp.GetUnlimited() {
			t.Errorf("%x: %d calls are allowed after %d requests for one token each", b, allowed, requests)
		}
		if said := readable && (resp.GetTokens() > 0 || resp.GetRetryAfterUs() > 0 || resp.GetUnlimited()); !said {
			if _, avoided := a.avoided("n1"); !avoided {
				t.Errorf("%x counts as an issuer's answer", b)
			}
		}
		clk.Advance(10 * time.Second)
		answer = encode(t, &issuerpb.TakeResponse{Tokens: 1})
		if d, ok := a.Allow(clk.Now(), acme).(limit.Allowed); !ok {
			t.Errorf("%x: after an issuer's answer the decision is %+v", b, d)
		}
	})
}
