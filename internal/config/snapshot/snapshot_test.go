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

func sampleObjects() []Object {
	return []Object{
		NewService("maps"), NewService("ledger"),
		NewPool("maps", "maps", Slots(17), Promised(11), Connections(130), Upstreams(5)),
		NewPool("ledger", "ledger", Slots(17), Promised(13), Connections(130), Upstreams(5)),
		NewRoute("view", "/walls", "maps", "maps", Idempotent(), Methods("GET", "HEAD"), Retries(3)),
		NewRoute("send", "/ascents", "ledger", "ledger", Methods("POST"), Host("gyms.mn"), Deadline(5*time.Second), Anonymous()),
		NewOrganisation("gym", Paying, gymHash), NewOrganisation("club", Trial).WithPriority(3),
		NewLimit("gym", 12.5, 4).WithBurst(2.5), NewObjective("maps", 0.999, 300*time.Millisecond, 720*time.Hour),
	}
}

// testingT is the part of *testing.T, *testing.F and *rapid.T that the helpers use.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

func mustEncode(t testingT, o Object) []byte {
	t.Helper()
	b, err := Encode(o)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func mustNext(t testingT, s *Snapshot, c Change) (*Delta, *Snapshot) {
	t.Helper()
	d, n, err := s.Next(c, stamp)
	if err != nil {
		t.Fatal(err)
	}
	return d, n
}

func mustBuild(t testingT, objects ...Object) *Snapshot {
	t.Helper()
	_, s := mustNext(t, Empty(), NewChange(objects, nil))
	return s
}

// visibleState returns the version's exported state as text.
func visibleState(s *Snapshot) string {
	return fmt.Sprintf("%d %s %s %+v", s.Version(), s.Digest(), s.PlanID(), s.Objects())
}

// errorType returns the name of an error's type without its package.
func errorType(err error) string {
	name := fmt.Sprintf("%T", err)
	return name[strings.LastIndex(name, ".")+1:]
}

func TestObjectsRoundTrip(t *testing.T) {
	t.Parallel()
	for _, o := range sampleObjects() {
		got, err := Decode(mustEncode(t, o))
		if err != nil || fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", o) {
			t.Errorf("%s: got %+v, %v, want %+v", o.Key(), got, err, o)
		}
	}
}

// Guards against a count that wraps in 32 bits and decodes to another valid one.
func TestEncodeRefusesCountsThatWrap(t *testing.T) {
	t.Parallel()
	const tooLarge = math.MaxUint32 + 18
	for _, o := range []Object{
		NewPool("p", "s", Slots(tooLarge)), NewPool("p", "s", Promised(tooLarge)), NewPool("p", "s", Upstreams(-1)),
		NewPool("p", "s", Connections(tooLarge)), NewRoute("r", "/", "s", "p", Retries(-1)), NewLimit("o", 1, tooLarge),
	} {
		var want *DecodeError
		if b, err := Encode(o); !errors.As(err, &want) || b != nil {
			t.Errorf("%+v: got %x, %v", o, b, err)
		}
	}
}

// unknownField is an encoded field that no message defines.
var unknownField = protowire.AppendVarint(protowire.AppendTag(nil, 1000, protowire.VarintType), 7)

// Guards against dropping fields that a newer program has set: the version would
// be applied in part and have another digest.
func TestDecodeRefusesUnknownFields(t *testing.T) {
	t.Parallel()
	for _, o := range sampleObjects() {
		b := mustEncode(t, o)
		num, _, n := protowire.ConsumeTag(b)
		inner, _ := protowire.ConsumeBytes(b[n:])
		nested := protowire.AppendBytes(protowire.AppendTag(nil, num, protowire.BytesType), append(slices.Clone(inner), unknownField...))
		for _, b := range [][]byte{append(slices.Clone(b), unknownField...), nested} {
			if _, err := Decode(b); errorType(err) != "DecodeError" {
				t.Errorf("%s: got %v", o.Key(), err)
			}
		}
	}
	for _, b := range [][]byte{nil, unknownField, {0xff}, []byte("rubbish")} {
		if _, err := Decode(b); errorType(err) != "DecodeError" {
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
		{"no objects", nil, "<nil>"},
		{"valid objects", sampleObjects(), "<nil>"},
		{"a pool without its service", []Object{NewPool("p", "s")}, "pool/p refers to service/s, which does not exist"},
		{"more promised than slots", []Object{NewService("s"), NewPool("p", "s", Slots(2), Promised(3))}, "pool/p: promised: is 3, must be between 0 and 2"},
		{"a pool of another service", append(route(), NewService("t"), NewRoute("q", "/q", "t", "p")), "route/q: pool: p serves s, not t"},
		{"a wildcard method", route(Methods("*")), `route/r: methods: "*" is no method; leave methods out for any`},
		{"the same method twice", route(Methods("GET", "GET")), "route/r and route/r both claim GET /"},
		{"two routes for the same calls", append(route(Host("h")), NewRoute("q", "/", "s", "p", Host("h"))), "route/q and route/r both claim h * /"},
		{"a deadline finer than its encoding", route(Deadline(1500 * time.Microsecond)), "route/r: deadline: is 1.5ms, must be a multiple of 1ms"},
		{"a host that is too long", route(Host(strings.Repeat("h", 254))), "route/r: host: must be a lower-case host name without a port, of at most 253 bytes"},
		{"a rate of NaN", []Object{NewOrganisation("o", Trial), NewLimit("o", math.NaN(), 0)}, "limit/o: rate: must be between 0 and 10000000 calls a second"},
		{"an availability of NaN", []Object{NewService("s"), NewObjective("s", math.NaN(), time.Second, time.Hour)}, "objective/s: availability: must lie between 0 and 1, both excluded"},
		{"one API key of two organisations", []Object{NewOrganisation("a", Trial, gymHash), NewOrganisation("b", Trial, gymHash)}, "organisation/a and organisation/b both claim key hash " + gymHash[:8] + "…"},
		{"an empty name", []Object{NewService("")}, "service/: name: must be 1 to 63 of a-z, 0-9 and -"},
	} {
		if got := fmt.Sprint(Check(tt.objects)); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

// editedDelta returns the bytes of a copy of a delta that f has modified.
func editedDelta(t testingT, d *Delta, f func(*configpb.Delta)) []byte {
	t.Helper()
	m := proto.Clone(d.message).(*configpb.Delta)
	f(m)
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A delta that is damaged, forged, out of order or written by a newer program
// yields a typed error and no version, and leaves the current version unchanged.
func TestBadDeltaYieldsNoVersion(t *testing.T) {
	t.Parallel()
	current := mustBuild(t, sampleObjects()...)
	before := visibleState(current)
	d, _ := mustNext(t, current, NewChange([]Object{NewService("status")}, []Key{{KindLimit, "gym"}}))
	for _, tt := range []struct {
		name  string
		bytes []byte
		want  string
	}{
		{"random bytes", []byte("rubbish"), "DecodeError"},
		{"truncated bytes", d.Bytes()[:len(d.Bytes())-3], "DecodeError"},
		{"an unknown field", append(slices.Clone(d.Bytes()), unknownField...), "DecodeError"},
		{"a newer format", append(editedDelta(t, d, func(m *configpb.Delta) { m.Format++ }), unknownField...), "FormatError"},
		{"no version", editedDelta(t, d, func(m *configpb.Delta) { m.Version = 0 }), "DecodeError"},
		{"a short digest", editedDelta(t, d, func(m *configpb.Delta) { m.Digest = m.Digest[1:] }), "DecodeError"},
		{"a later version", editedDelta(t, d, func(m *configpb.Delta) { m.Version++ }), "ParentError"},
		{"the current version", editedDelta(t, d, func(m *configpb.Delta) { m.Version-- }), "ParentError"},
		{"another parent", editedDelta(t, d, func(m *configpb.Delta) { m.ParentDigest[0]++ }), "ParentError"},
		{"another digest", editedDelta(t, d, func(m *configpb.Delta) { m.Digest[0]++ }), "DigestError"},
		{"an extra object", editedDelta(t, d, func(m *configpb.Delta) { m.Upserts = append(m.Upserts, mustEncode(t, NewService("x"))) }), "DigestError"},
		{"a missing object", editedDelta(t, d, func(m *configpb.Delta) { m.Upserts = nil }), "DigestError"},
		{"a malformed object", editedDelta(t, d, func(m *configpb.Delta) { m.Upserts = append(m.Upserts, []byte("x")) }), "DecodeError"},
		{"a malformed key to remove", editedDelta(t, d, func(m *configpb.Delta) { m.Removes = append(m.Removes, "view") }), "KeyError"},
		{"removal of a pool that routes refer to", forgedDelta(t, current, func(m *configpb.Delta) { m.Removes = []string{"pool/maps"} }), "CheckError"},
		{"a route to a missing pool", forgedDelta(t, current, func(m *configpb.Delta) { m.Upserts = [][]byte{mustEncode(t, NewRoute("r", "/r", "maps", "none"))} }), "CheckError"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, err := DecodeDelta(tt.bytes)
			var s *Snapshot
			if err == nil {
				s, err = current.Apply(got)
			}
			if s != nil || errorType(err) != tt.want {
				t.Errorf("got version %v and %v, want a %s", s, err, tt.want)
			}
			if diff := cmp.Diff(before, visibleState(current)); diff != "" {
				t.Errorf("the current version changed:\n%s", diff)
			}
		})
	}
	if got, err := current.Apply(d); err != nil || got.Version() != 2 {
		t.Errorf("the valid delta was not applied after the bad ones: %v", err)
	}
}

// forgedDelta returns a delta with the upserts and removes that f sets and with
// matching digests, so that only the checks of objects can reject it.
func forgedDelta(t testingT, current *Snapshot, f func(*configpb.Delta)) []byte {
	t.Helper()
	d, _ := mustNext(t, current, NewChange([]Object{NewService("x")}, nil))
	b := editedDelta(t, d, func(m *configpb.Delta) {
		m.Upserts = nil
		f(m)
		_, digest, err := current.patch(m)
		if err != nil {
			t.Fatal(err)
		}
		m.Digest = digest[:]
	})
	return b
}

// A whole version that is damaged, forged or written by a newer program yields a
// typed error and no version.
func TestBadFullYieldsNoVersion(t *testing.T) {
	t.Parallel()
	s := mustBuild(t, sampleObjects()...)
	full, err := s.EncodeFull()
	if err != nil {
		t.Fatal(err)
	}
	editedFull := func(f func(*configpb.Full)) []byte {
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
		{"random bytes", []byte("rubbish"), "DecodeError"},
		{"truncated bytes", full[:len(full)-3], "DecodeError"},
		{"no bytes", nil, "DecodeError"},
		{"an unknown field", append(slices.Clone(full), unknownField...), "DecodeError"},
		{"a newer format", append(editedFull(func(m *configpb.Full) { m.Format++ }), unknownField...), "FormatError"},
		{"a short digest", editedFull(func(m *configpb.Full) { m.Digest = m.Digest[1:] }), "DecodeError"},
		{"another digest", editedFull(func(m *configpb.Full) { m.Digest[0]++ }), "DigestError"},
		{"a missing object", editedFull(func(m *configpb.Full) { m.Objects = m.Objects[1:] }), "DigestError"},
		{"a duplicate object", editedFull(func(m *configpb.Full) { m.Objects = append(m.Objects, m.Objects[0], m.Objects[0]) }), "OverlapError"},
		{"a malformed object", editedFull(func(m *configpb.Full) { m.Objects[0] = []byte("x") }), "DecodeError"},
		{"a route to a missing pool", editedFull(func(m *configpb.Full) {
			b := mustEncode(t, NewRoute("r", "/r", "maps", "none"))
			_, e, _ := newEntry(b)
			d := s.Digest().xor(e.hash)
			m.Objects, m.Digest = append(m.Objects, b), d[:]
		}), "CheckError"},
	} {
		if got, err := DecodeFull(tt.bytes); got != nil || errorType(err) != tt.want {
			t.Errorf("%s: got version %v and %v, want a %s", tt.name, got, err, tt.want)
		}
	}
}

// drawChange draws a change whose result is often valid.
func drawChange(t *rapid.T, s *Snapshot) Change {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	var upserts []Object
	seen := map[Key]bool{}
	for range rapid.IntRange(0, 4).Draw(t, "sets") {
		n, ref := names.Draw(t, "name"), names.Draw(t, "ref")
		o := rapid.SampledFrom([]Object{
			NewService(n), NewPool(n, ref, Slots(rapid.IntRange(1, 5).Draw(t, "slots"))), NewOrganisation(n, Class(len(ref)%2)),
			NewRoute(n, "/"+ref, ref, ref, Retries(rapid.IntRange(0, 3).Draw(t, "retries"))), NewLimit(n, 5, 1),
		}).Draw(t, "object")
		if !seen[o.Key()] {
			seen[o.Key()] = true
			upserts = append(upserts, o)
		}
	}
	var removes []Key
	for _, k := range s.Keys() {
		if !seen[k] && rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
			removes = append(removes, k)
		}
	}
	return NewChange(upserts, removes)
}

// A version is the same whether built from a change, applied as a delta or decoded in
// full. A failed change modifies nothing, and the digest ignores the order of objects.
func TestStatefulDeltasAgreeWithFullEncoding(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		confirmed, byDelta := Empty(), Empty()
		model := map[Key]string{}
		for range rapid.IntRange(1, 30).Draw(t, "versions") {
			c := drawChange(t, confirmed)
			before := visibleState(confirmed)
			d, n, err := confirmed.Next(c, stamp)
			if visibleState(confirmed) != before {
				t.Fatal("Next modified the version it was called on")
			}
			var check *CheckError
			if errors.As(err, &check) {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			confirmed = n
			applyToModel(model, c)
			byDelta = decodeAndApply(t, byDelta, d)
			checkSameVersion(t, model, confirmed, byDelta)
		}
	})
}

func applyToModel(model map[Key]string, c Change) {
	for _, k := range c.Removes() {
		delete(model, k)
	}
	for _, o := range c.Upserts() {
		model[o.Key()] = fmt.Sprintf("%+v", o)
	}
}

func decodeAndApply(t *rapid.T, s *Snapshot, d *Delta) *Snapshot {
	got, err := DecodeDelta(d.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	if got.Stamp() != stamp || got.Parent() != s.Digest() {
		t.Fatalf("the delta has stamp %+v and parent digest %s", got.Stamp(), got.Parent())
	}
	n, err := s.Apply(got)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func checkSameVersion(t *rapid.T, model map[Key]string, confirmed, byDelta *Snapshot) {
	full, err := confirmed.EncodeFull()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeFull(full)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []*Snapshot{byDelta, decoded} {
		if diff := cmp.Diff(visibleState(confirmed), visibleState(s)); diff != "" {
			t.Fatalf("the confirmed version and the applied or decoded one differ:\n%s", diff)
		}
		reencoded, err := s.EncodeFull()
		if err != nil || !bytes.Equal(full, reencoded) {
			t.Fatalf("the full encodings of the confirmed version and the applied or decoded one differ: %v", err)
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
	if d := mustBuild(t, order...).Digest(); d != confirmed.Digest() {
		t.Fatalf("objects added in another order have digest %s, want %s", d, confirmed.Digest())
	}
}

func TestDiffReturnsTheSmallestChange(t *testing.T) {
	t.Parallel()
	s := mustBuild(t, sampleObjects()...)
	for _, tt := range []struct {
		name             string
		wanted           []Object
		upserts, removes string
	}{
		{"no difference", sampleObjects(), "", ""},
		{"one object added", append(sampleObjects(), NewService("x")), "service/x", ""},
		{"one object changed", append(sampleObjects()[1:9], NewService("maps"), NewObjective("maps", 0.9, time.Second, time.Hour)), "objective/maps", ""},
		{"one object removed", sampleObjects()[:9], "", "objective/maps"},
		{"all objects removed", nil, "", "limit/gym objective/maps organisation/club organisation/gym pool/ledger pool/maps route/send route/view service/ledger service/maps"},
	} {
		c, err := s.Diff(tt.wanted)
		var upserts, removes []string
		for _, o := range c.Upserts() {
			upserts = append(upserts, o.Key().String())
		}
		for _, k := range c.Removes() {
			removes = append(removes, k.String())
		}
		if got, want := strings.Join(upserts, " ")+"|"+strings.Join(removes, " "), tt.upserts+"|"+tt.removes; err != nil || got != want {
			t.Errorf("%s: got %s, %v, want %s", tt.name, got, err, want)
		}
		if c.Empty() != (tt.upserts+tt.removes == "") {
			t.Errorf("%s: Empty() = %v", tt.name, c.Empty())
		}
	}
}

func TestLookupsFindDeclaredObjects(t *testing.T) {
	t.Parallel()
	s := mustBuild(t, append(sampleObjects(),
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
	_, hashFound := s.Identify(gymHash)
	gym, keyFound := s.Identify("demo-gym")
	_, unknownPoolFound := s.Pool("none")
	p, poolFound := s.Pool("maps")
	l, limitFound := s.Limit("gym")
	if !keyFound || gym.Name() != "gym" || hashFound || unknownPoolFound || !poolFound || p.Slots() != 17 || !limitFound || l.Rate() != 12.5 {
		t.Errorf("got %v %v %v %v %v %v", hashFound, unknownPoolFound, poolFound, p, limitFound, l)
	}
	if d := s.ObjectDigest(Key{KindService, "none"}); d != (Digest{}) || s.ObjectDigest(Key{KindService, "maps"}) == d {
		t.Error("a missing object has a digest, or an existing one has none")
	}
}

// Guards against a version whose organisations count as none because none of them has a key.
func TestOrganisationsWithoutKeysAreOrganisations(t *testing.T) {
	t.Parallel()
	keyed, keyless, pool := NewOrganisation("gym", Paying, gymHash), NewOrganisation("gym", Paying), NewService("maps")
	for _, tc := range []struct {
		name    string
		objects []Object
		want    bool
	}{
		{"none", []Object{pool}, false},
		{"one with a key", []Object{pool, keyed}, true},
		{"one without", []Object{pool, keyless}, true},
	} {
		b, err := mustBuild(t, tc.objects...).EncodeFull()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeFull(b)
		if err != nil {
			t.Fatal(err)
		}
		if adopted := Adopt(2, tc.objects); adopted.HasOrganisations() != tc.want || decoded.HasOrganisations() != tc.want {
			t.Errorf("%s: adopted %v, decoded %v", tc.name, adopted.HasOrganisations(), decoded.HasOrganisations())
		}
		for _, before := range [][]Object{{pool}, {pool, keyed}, {pool, keyless}, {pool, NewService("a"), NewService("b"), NewService("c"), keyed}} {
			s := Adopt(1, before)
			change, err := s.Diff(tc.objects)
			if err != nil {
				t.Fatal(err)
			}
			next, err := s.Revise(2, change)
			if err != nil || next.HasOrganisations() != tc.want {
				t.Errorf("%s after %v: %v, error %v", tc.name, before, next.HasOrganisations(), err)
			}
		}
	}
}

func FuzzDecodeDelta(f *testing.F) {
	current := mustBuild(f, sampleObjects()...)
	d, _ := mustNext(f, current, NewChange([]Object{NewService("x")}, []Key{{KindLimit, "gym"}}))
	f.Add(d.Bytes())
	f.Add([]byte("rubbish"))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := DecodeDelta(b)
		if err != nil {
			return
		}
		if s, err := current.Apply(d); (s == nil) == (err == nil) {
			t.Fatalf("got version %v with %v", s, err)
		}
		if _, err := d.ChangedKeys(); err != nil && errorType(err) == "" {
			t.Fatal(err)
		}
	})
}
