package snapshot

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawObject returns an object that may overlap with others or refer to missing ones.
func drawObject(t *rapid.T) Object {
	name := func(kind string) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, kind) }
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return NewService(name("service"))
	case 1:
		return NewPool(name("pool"), name("service"), Slots(rapid.IntRange(1, 2).Draw(t, "slots")))
	case 2:
		return NewOrganisation(name("organisation"), Paying, HashKey(name("key")), HashKey(name("key")))
	case 3:
		return NewLimit(name("organisation"), 5, 1)
	case 4:
		return NewObjective(name("service"), 0.9, minDeadline, minWindow)
	case 5:
		return NewRoute(name("route"), "no-path", name("service"), name("pool"), Methods("PUT", "PUT", "none"))
	default:
		methods := rapid.SampledFrom([][]string{nil, {"GET"}, {"GET", "PUT"}}).Draw(t, "methods")
		path := rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/b/c/"}).Draw(t, "path")
		host, pool := rapid.SampledFrom([]string{"", "x"}).Draw(t, "host"), name("pool")
		return NewRoute(name("route")+name("suffix"), path, pool, pool, Host(host), Methods(methods...))
	}
}

// calls returns what a version decides about calls of all hosts, paths and methods used by
// drawObject.
func calls(s *Snapshot) string {
	out := fmt.Sprintln(s.HasOrganisations())
	for _, name := range []string{"a", "b", "c"} {
		o, known := s.Identify(name)
		p, pool := s.Pool(name)
		l, limited := s.Limit(name)
		out += fmt.Sprintln(o, known, p, pool, l, limited)
	}
	for _, host := range []string{"x", "y"} {
		for _, path := range []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/b", "/b/c", "/b/c/d"} {
			for _, method := range []string{"GET", "PUT", "POST"} {
				r, ok := s.Match(host, path, method)
				out += fmt.Sprintln(r.Name(), ok)
			}
		}
	}
	return out
}

// A version made from a change must equal one that is assembled from all objects, report
// the same errors and leave the version before as it was.
func TestReviseEqualsAssemble(t *testing.T) {
	t.Parallel()
	valid, invalid := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		objects := map[Key]Object{}
		for _, name := range []string{"a", "b", "c"} {
			for _, o := range []Object{NewService(name), NewPool(name, name), NewOrganisation(name, Trial), NewObjective(name, 0.5, minDeadline, minWindow)} {
				objects[o.Key()] = o
			}
		}
		list := func(m map[Key]Object) (out []Object) {
			for _, o := range m {
				out = append(out, o)
			}
			return out
		}
		s, err := Assemble(1, list(objects))
		if err != nil {
			t.Fatal(err)
		}
		for i := range 10 {
			next := map[Key]Object{}
			for k, o := range objects {
				next[k] = o
			}
			var upserts []Object
			var removes []Key
			for range min(len(objects), rapid.IntRange(0, 2).Draw(t, "removes")) {
				k := rapid.SampledFrom(s.Keys()).Draw(t, "remove")
				removes = append(removes, k)
				delete(next, k)
			}
			for range rapid.IntRange(0, 2).Draw(t, "upserts") {
				o := drawObject(t)
				if len(upserts) == 0 || upserts[0].Key() != o.Key() {
					upserts = append(upserts, o)
					next[o.Key()] = o
				}
			}
			before := calls(s)
			want, wantErr := Assemble(uint64(i+2), list(next))
			got, err := s.Revise(uint64(i+2), NewChange(upserts, removes))
			if !reflect.DeepEqual(err, wantErr) {
				t.Fatalf("error %v, want %v", err, wantErr)
			}
			if after := calls(s); after != before {
				t.Fatalf("the version before decides\n%s\nand then\n%s", before, after)
			}
			if err != nil {
				invalid++
				continue
			}
			valid++
			if calls(got) != calls(want) || got.Version() != want.Version() || !reflect.DeepEqual(got.objects, want.objects) {
				t.Fatalf("revised to %+v\n%s\nassembled as %+v\n%s", got, calls(got), want, calls(want))
			}
			s, objects = got, next
		}
	})
	if valid < 100 || invalid < 100 {
		t.Errorf("%d valid and %d invalid versions; the test has to cover both", valid, invalid)
	}
}

// The same must hold for adopted versions, of which none is an error: what contradicts is
// settled in the same way, and reported.
func TestReviseEqualsAdopt(t *testing.T) {
	t.Parallel()
	clean, faulty := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		objects := map[Key]Object{}
		for _, name := range []string{"a", "b", "c"} {
			for _, o := range []Object{NewService(name), NewPool(name, name), NewOrganisation(name, Trial)} {
				objects[o.Key()] = o
			}
		}
		list := func(m map[Key]Object) (out []Object) {
			for _, o := range m {
				out = append(out, o)
			}
			return out
		}
		s := Adopt(1, list(objects))
		for i := range 10 {
			next := map[Key]Object{}
			for k, o := range objects {
				next[k] = o
			}
			var removes []Key
			if rapid.Bool().Draw(t, "removes") {
				k := rapid.SampledFrom(s.Keys()).Draw(t, "remove")
				removes = append(removes, k)
				delete(next, k)
			}
			o := drawObject(t)
			next[o.Key()] = o
			want := Adopt(uint64(i+2), list(next))
			got, err := s.Revise(uint64(i+2), NewChange([]Object{o}, removes))
			if err != nil || calls(got) != calls(want) || !reflect.DeepEqual(got.objects, want.objects) || !reflect.DeepEqual(got.Faults(), want.Faults()) {
				t.Fatalf("revised to %+v, %v\n%s\nadopted as %+v\n%s", got, err, calls(got), want, calls(want))
			}
			if len(got.Faults()) > 0 {
				faulty++
				continue
			}
			clean++
			s, objects = got, next
		}
	})
	if clean < 100 || faulty < 100 {
		t.Errorf("%d versions without and %d with faults; the test has to cover both", clean, faulty)
	}
}
