package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"banyanlug.example/banyanlug/internal/config/configpb"
)

var stamp = Stamp{PlanID: "p1", Operator: "ana", At: time.UnixMilli(1_767_323_045_678).UTC()}

// gymHash is the SHA-256 of "demo-gym".
const gymHash = "cfab0d02026c7cc8e8b81667bbbd5f9a532526e65140a0769bebe87aa4a4101d"

func walls() []Object {
	return []Object{
		NewService("maps"), NewService("ledger"),
		NewPool("maps", "maps", Slots(17), Promised(11), Connections(130), Upstreams(5)),
		NewPool("ledger", "ledger", Slots(17), Promised(13), Connections(130), Upstreams(5)),
		NewRoute("view", "/walls", "maps", "maps", Idempotent(), Methods("GET", "HEAD"), Retries(3)),
		NewRoute("send", "/ascents", "ledger", "ledger", Methods("POST"), Host("gyms.mn"), Deadline(5*time.Second)),
		NewOrganisation("gym", Paying, gymHash), NewOrganisation("club", Trial),
		NewLimit("gym", 12.5, 4), NewObjective("maps", 0.999, 300*time.Millisecond, 720*time.Hour),
	}
}

// fatal is what the helpers need of a test, be it the language's or rapid's.
type fatal interface {
	Helper()
	Fatal(args ...any)
}

func encoded(t fatal, o Object) []byte {
	t.Helper()
	b, err := Encode(o)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func next(t fatal, s *Snapshot, c Change) (*Delta, *Snapshot) {
	t.Helper()
	d, n, err := s.Next(c, stamp)
	if err != nil {
		t.Fatal(err)
	}
	return d, n
}

func built(t fatal, objects ...Object) *Snapshot {
	t.Helper()
	_, s := next(t, Empty(), NewChange(objects, nil))
	return s
}

// state is all that can be seen of a version.
func state(s *Snapshot) string {
	return fmt.Sprintf("%d %s %s %+v", s.Version(), s.Digest(), s.PlanID(), s.Objects())
}

// short is the name of an error's type.
func short(err error) string {
	name := fmt.Sprintf("%T", err)
	return name[strings.LastIndex(name, ".")+1:]
}

func TestObjectsSurviveEncoding(t *testing.T) {
	t.Parallel()
	for _, o := range walls() {
		got, err := Decode(encoded(t, o))
		if err != nil || fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", o) {
			t.Errorf("%s: got %+v, %v, want %+v", o.Key(), got, err, o)
		}
	}
}

// A count that does not fit its encoding would come back as another one, and
// pass every check: an operator would plan 4,294,967,313 slots and get 17.
func TestEncodeRefusesCountsThatWrap(t *testing.T) {
	t.Parallel()
	const wraps = math.MaxUint32 + 18
	for _, o := range []Object{
		NewPool("p", "s", Slots(wraps)), NewPool("p", "s", Promised(wraps)), NewPool("p", "s", Upstreams(-1)),
		NewPool("p", "s", Connections(wraps)), NewRoute("r", "/", "s", "p", Retries(-1)), NewLimit("o", 1, wraps),
	} {
		var want *DecodeError
		if b, err := Encode(o); !errors.As(err, &want) || b != nil {
			t.Errorf("%+v: got %x, %v", o, b, err)
		}
	}
}

// unknown is a field that no program knows yet.
var unknown = protowire.AppendVarint(protowire.AppendTag(nil, 1000, protowire.VarintType), 7)

// A newer program's object holds a field this one does not know. It is refused
// whole: to drop the field would apply a version in part and give the node a
// digest of its own.
func TestDecodeRefusesUnknownFields(t *testing.T) {
	t.Parallel()
	for _, o := range walls() {
		b := encoded(t, o)
		num, _, n := protowire.ConsumeTag(b)
		inner, _ := protowire.ConsumeBytes(b[n:])
		nested := protowire.AppendBytes(protowire.AppendTag(nil, num, protowire.BytesType), append(slices.Clone(inner), unknown...))
		for _, b := range [][]byte{append(slices.Clone(b), unknown...), nested} {
			if _, err := Decode(b); short(err) != "DecodeError" {
				t.Errorf("%s: got %v", o.Key(), err)
			}
		}
	}
	for _, b := range [][]byte{nil, unknown, {0xff}, []byte("rubbish")} {
		if _, err := Decode(b); short(err) != "DecodeError" {
			t.Errorf("%x: got %v", b, err)
		}
	}
}

func TestCheckFindsFaults(t *testing.T) {
	t.Parallel()
	route := func(opts ...RouteOption) []Object {
		return []Object{NewService("s"), NewPool("p", "s"), NewRoute("r", "/", "s", "p", opts...)}
	}
	for _, tt := range []struct {
		name    string
		objects []Object
		want    string
	}{
		{"nothing", nil, "<nil>"},
		{"all right", walls(), "<nil>"},
		{"a pool of no service", []Object{NewPool("p", "s")}, "pool/p refers to service/s, which does not exist"},
		{"more promised than slots", []Object{NewService("s"), NewPool("p", "s", Slots(2), Promised(3))}, "pool/p: promised: is 3, must be between 0 and 2"},
		{"a pool of another service", append(route(), NewService("t"), NewRoute("q", "/q", "t", "p")), "route/q: pool: p serves s, not t"},
		{"a method for any", route(Methods("*")), `route/r: methods: "*" is no method; leave methods out for any`},
		{"the same method twice", route(Methods("GET", "GET")), "route/r and route/r both claim GET /"},
		{"the same calls twice", append(route(Host("h")), NewRoute("q", "/", "s", "p", Host("h"))), "route/q and route/r both claim h * /"},
		{"a deadline finer than kept", route(Deadline(1500 * time.Microsecond)), "route/r: deadline: is 1.5ms, must be a multiple of 1ms"},
		{"a long host", route(Host(strings.Repeat("h", 254))), "route/r: host: must be a lower-case host name without a port, of at most 253 bytes"},
		{"a rate that is no number", []Object{NewOrganisation("o", Trial), NewLimit("o", math.NaN(), 0)}, "limit/o: rate: must be between 0 and 10000000 calls a second"},
		{"an availability that is no number", []Object{NewService("s"), NewObjective("s", math.NaN(), time.Second, time.Hour)}, "objective/s: availability: must lie between 0 and 1, both excluded"},
		{"one key for two", []Object{NewOrganisation("a", Trial, gymHash), NewOrganisation("b", Trial, gymHash)}, "organisation/a and organisation/b both claim key hash " + gymHash[:8] + "…"},
		{"a name of nothing", []Object{NewService("")}, "service/: name: must be 1 to 63 of a-z, 0-9 and -"},
	} {
		if got := fmt.Sprint(Check(tt.objects)); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

// sealed returns a delta's bytes after f changed it.
func sealed(t fatal, d *Delta, f func(*configpb.Delta)) []byte {
	t.Helper()
	m := proto.Clone(d.message).(*configpb.Delta)
	f(m)
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A delta arrives that is damaged, forged, out of turn or written by a newer
// program. The node gets a typed error and no version; the one it holds stays
// whole and in force.
func TestBadDeltaYieldsNoVersion(t *testing.T) {
	t.Parallel()
	held := built(t, walls()...)
	before := state(held)
	d, _ := next(t, held, NewChange([]Object{NewService("status")}, []Key{{KindLimit, "gym"}}))
	for _, tt := range []struct {
		name  string
		bytes []byte
		want  string
	}{
		{"rubbish", []byte("rubbish"), "DecodeError"},
		{"cut off", d.Bytes()[:len(d.Bytes())-3], "DecodeError"},
		{"an unknown field", append(slices.Clone(d.Bytes()), unknown...), "DecodeError"},
		{"a newer format", append(sealed(t, d, func(m *configpb.Delta) { m.Format++ }), unknown...), "FormatError"},
		{"no version", sealed(t, d, func(m *configpb.Delta) { m.Version = 0 }), "DecodeError"},
		{"a short digest", sealed(t, d, func(m *configpb.Delta) { m.Digest = m.Digest[1:] }), "DecodeError"},
		{"a later version", sealed(t, d, func(m *configpb.Delta) { m.Version++ }), "ParentError"},
		{"the version held", sealed(t, d, func(m *configpb.Delta) { m.Version-- }), "ParentError"},
		{"another parent", sealed(t, d, func(m *configpb.Delta) { m.ParentDigest[0]++ }), "ParentError"},
		{"another digest", sealed(t, d, func(m *configpb.Delta) { m.Digest[0]++ }), "DigestError"},
		{"an object more", sealed(t, d, func(m *configpb.Delta) { m.Upserts = append(m.Upserts, encoded(t, NewService("x"))) }), "DigestError"},
		{"an object fewer", sealed(t, d, func(m *configpb.Delta) { m.Upserts = nil }), "DigestError"},
		{"an object of rubbish", sealed(t, d, func(m *configpb.Delta) { m.Upserts = append(m.Upserts, []byte("x")) }), "DecodeError"},
		{"a removal of rubbish", sealed(t, d, func(m *configpb.Delta) { m.Removes = append(m.Removes, "view") }), "KeyError"},
		{"a pool that routes need removed", forged(t, held, func(m *configpb.Delta) { m.Removes = []string{"pool/maps"} }), "CheckError"},
		{"a route to nowhere", forged(t, held, func(m *configpb.Delta) { m.Upserts = [][]byte{encoded(t, NewRoute("r", "/r", "maps", "none"))} }), "CheckError"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, err := DecodeDelta(tt.bytes)
			var s *Snapshot
			if err == nil {
				s, err = held.Apply(got)
			}
			if s != nil || short(err) != tt.want {
				t.Errorf("got version %v and %v, want a %s", s, err, tt.want)
			}
			if diff := cmp.Diff(before, state(held)); diff != "" {
				t.Errorf("the version held changed:\n%s", diff)
			}
		})
	}
	if got, err := held.Apply(d); err != nil || got.Version() != 2 {
		t.Errorf("after all that the right delta fails: %v", err)
	}
}

// forged returns a delta whose digests are right and whose content is not.
func forged(t fatal, held *Snapshot, f func(*configpb.Delta)) []byte {
	t.Helper()
	d, _ := next(t, held, NewChange([]Object{NewService("x")}, nil))
	b := sealed(t, d, func(m *configpb.Delta) {
		m.Upserts = nil
		f(m)
		_, digest, err := held.patch(m)
		if err != nil {
			t.Fatal(err)
		}
		m.Digest = digest[:]
	})
	return b
}

// A whole version arrives damaged or from a newer program, as the deltas above.
func TestBadFullYieldsNoVersion(t *testing.T) {
	t.Parallel()
	s := built(t, walls()...)
	full, err := s.EncodeFull()
	if err != nil {
		t.Fatal(err)
	}
	with := func(f func(*configpb.Full)) []byte {
		m := &configpb.Full{}
		if err := proto.Unmarshal(full, m); err != nil {
			t.Fatal(err)
		}
		f(m)
		b, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for _, tt := range []struct {
		name  string
		bytes []byte
		want  string
	}{
		{"rubbish", []byte("rubbish"), "DecodeError"},
		{"cut off", full[:len(full)-3], "DecodeError"},
		{"nothing", nil, "DecodeError"},
		{"an unknown field", append(slices.Clone(full), unknown...), "DecodeError"},
		{"a newer format", append(with(func(m *configpb.Full) { m.Format++ }), unknown...), "FormatError"},
		{"a short digest", with(func(m *configpb.Full) { m.Digest = m.Digest[1:] }), "DecodeError"},
		{"another digest", with(func(m *configpb.Full) { m.Digest[0]++ }), "DigestError"},
		{"an object fewer", with(func(m *configpb.Full) { m.Objects = m.Objects[1:] }), "DigestError"},
		{"an object twice", with(func(m *configpb.Full) { m.Objects = append(m.Objects, m.Objects[0], m.Objects[0]) }), "OverlapError"},
		{"an object of rubbish", with(func(m *configpb.Full) { m.Objects[0] = []byte("x") }), "DecodeError"},
		{"a route to nowhere", with(func(m *configpb.Full) {
			b := encoded(t, NewRoute("r", "/r", "maps", "none"))
			_, e, _ := newEntry(b)
			d := s.Digest().mix(e.hash)
			m.Objects, m.Digest = append(m.Objects, b), d[:]
		}), "CheckError"},
	} {
		if got, err := DecodeFull(tt.bytes); got != nil || short(err) != tt.want {
			t.Errorf("%s: got version %v and %v, want a %s", tt.name, got, err, tt.want)
		}
	}
}

// drawChange draws a change that keeps a version valid, mostly.
func drawChange(t *rapid.T, s *Snapshot) Change {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	var set []Object
	seen := map[Key]bool{}
	for range rapid.IntRange(0, 4).Draw(t, "sets") {
		n, ref := names.Draw(t, "name"), names.Draw(t, "ref")
		o := rapid.SampledFrom([]Object{
			NewService(n), NewPool(n, ref, Slots(rapid.IntRange(1, 5).Draw(t, "slots"))), NewOrganisation(n, Class(len(ref)%2)),
			NewRoute(n, "/"+ref, ref, ref, Retries(rapid.IntRange(0, 3).Draw(t, "retries"))), NewLimit(n, 5, 1),
		}).Draw(t, "object")
		if !seen[o.Key()] {
			seen[o.Key()] = true
			set = append(set, o)
		}
	}
	var remove []Key
	for _, k := range s.Keys() {
		if !seen[k] && rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
			remove = append(remove, k)
		}
	}
	return NewChange(set, remove)
}

// TestStatefulDeltaPathIsFullPath holds that however a version reached a node
// (built where it was confirmed, by deltas, or whole) it is the same; that a
// refused change leaves the held version as it was; that each valid change
// follows; and that content alone makes the digest.
func TestStatefulDeltaPathIsFullPath(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		confirmed, byDelta := Empty(), Empty()
		model := map[Key]string{}
		for range rapid.IntRange(1, 30).Draw(t, "versions") {
			c := drawChange(t, confirmed)
			before := state(confirmed)
			d, n, err := confirmed.Next(c, stamp)
			if state(confirmed) != before {
				t.Fatal("a change altered the version it was made on")
			}
			var check *CheckError
			if errors.As(err, &check) {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			confirmed = n
			apply(model, c)
			byDelta = follow(t, byDelta, d)
			hold(t, model, confirmed, byDelta)
		}
	})
}

func apply(model map[Key]string, c Change) {
	for _, k := range c.Removes() {
		delete(model, k)
	}
	for _, o := range c.Upserts() {
		model[o.Key()] = fmt.Sprintf("%+v", o)
	}
}

func follow(t *rapid.T, s *Snapshot, d *Delta) *Snapshot {
	got, err := DecodeDelta(d.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	if got.Stamp() != stamp || got.Parent() != s.Digest() {
		t.Fatalf("the delta carries %+v on %s", got.Stamp(), got.Parent())
	}
	n, err := s.Apply(got)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func hold(t *rapid.T, model map[Key]string, confirmed, byDelta *Snapshot) {
	full, err := confirmed.EncodeFull()
	if err != nil {
		t.Fatal(err)
	}
	whole, err := DecodeFull(full)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []*Snapshot{byDelta, whole} {
		if diff := cmp.Diff(state(confirmed), state(s)); diff != "" {
			t.Fatalf("another way gave another version:\n%s", diff)
		}
		again, err := s.EncodeFull()
		if err != nil || !bytes.Equal(full, again) {
			t.Fatalf("another way gave other bytes: %v", err)
		}
	}
	got := map[Key]string{}
	for _, o := range confirmed.Objects() {
		got[o.Key()] = fmt.Sprintf("%+v", o)
	}
	if diff := cmp.Diff(model, got); diff != "" {
		t.Fatal(diff)
	}
	order := rapid.Permutation(confirmed.Objects()).Draw(t, "order")
	if d := built(t, order...).Digest(); d != confirmed.Digest() {
		t.Fatalf("in another order the digest is %s, not %s", d, confirmed.Digest())
	}
}

func TestDiff(t *testing.T) {
	t.Parallel()
	s := built(t, walls()...)
	for _, tt := range []struct {
		name         string
		wanted       []Object
		sets, unsets string
	}{
		{"the same", walls(), "", ""},
		{"one more", append(walls(), NewService("x")), "service/x", ""},
		{"one changed", append(walls()[1:9], NewService("maps"), NewObjective("maps", 0.9, time.Second, time.Hour)), "objective/maps", ""},
		{"one fewer", walls()[:9], "", "objective/maps"},
		{"none", nil, "", "limit/gym objective/maps organisation/club organisation/gym pool/ledger pool/maps route/send route/view service/ledger service/maps"},
	} {
		c, err := s.Diff(tt.wanted)
		var sets, unsets []string
		for _, o := range c.Upserts() {
			sets = append(sets, o.Key().String())
		}
		for _, k := range c.Removes() {
			unsets = append(unsets, k.String())
		}
		if got, want := strings.Join(sets, " ")+"|"+strings.Join(unsets, " "), tt.sets+"|"+tt.unsets; err != nil || got != want {
			t.Errorf("%s: got %s, %v, want %s", tt.name, got, err, want)
		}
		if c.Empty() != (tt.sets+tt.unsets == "") {
			t.Errorf("%s: empty is %v", tt.name, c.Empty())
		}
	}
}

func TestLookups(t *testing.T) {
	t.Parallel()
	s := built(t, append(walls(),
		NewRoute("wall", "/walls/3", "maps", "maps"), NewRoute("wall-post", "/walls/3", "maps", "maps", Methods("POST")),
		NewRoute("any", "/", "maps", "maps"), NewRoute("host", "/walls", "ledger", "ledger", Host("gyms.mn")))...)
	for _, tt := range []struct{ host, path, method, want string }{
		{"", "/walls", "GET", "view"},
		{"", "/walls/", "GET", "view"},
		{"", "/walls/9", "HEAD", "view"},
		{"", "/walls/9", "POST", "any"},
		{"", "/wallsx", "GET", "any"},
		{"", "/walls/3", "GET", "wall"},
		{"", "/walls/3/holds", "POST", "wall-post"},
		{"", "/", "GET", "any"},
		{"gyms.mn", "/walls/3", "GET", "host"},
		{"gyms.mn", "/ascents", "POST", "send"},
		{"gyms.mn", "/ascents", "GET", "any"},
		{"other.mn", "/ascents", "POST", "any"},
		{"", "walls", "GET", ""},
	} {
		if r, ok := s.Match(tt.host, tt.path, tt.method); r.Name() != tt.want || ok != (tt.want != "") {
			t.Errorf("%s %s%s: got %q, want %q", tt.method, tt.host, tt.path, r.Name(), tt.want)
		}
	}
	_, found := s.Identify(gymHash)
	gym, known := s.Identify("demo-gym")
	_, noPool := s.Pool("none")
	p, pool := s.Pool("maps")
	l, limit := s.Limit("gym")
	if !known || gym.Name() != "gym" || found || noPool || !pool || p.Slots() != 17 || !limit || l.Rate() != 12.5 {
		t.Errorf("got %v %v %v %v %v %v", found, noPool, pool, p, limit, l)
	}
	if d := s.ObjectDigest(Key{KindService, "none"}); d != (Digest{}) || s.ObjectDigest(Key{KindService, "maps"}) == d {
		t.Error("an object that is not there has a digest, or one that is has none")
	}
}

func FuzzDecodeDelta(f *testing.F) {
	held := built(f, walls()...)
	d, _ := next(f, held, NewChange([]Object{NewService("x")}, []Key{{KindLimit, "gym"}}))
	f.Add(d.Bytes())
	f.Add([]byte("rubbish"))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := DecodeDelta(b)
		if err != nil {
			return
		}
		if s, err := held.Apply(d); (s == nil) == (err == nil) {
			t.Fatalf("got version %v with %v", s, err)
		}
		if _, err := d.Touches(); err != nil && short(err) == "" {
			t.Fatal(err)
		}
	})
}
