package declaration

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/fstest"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Parts of the declarations in the tests.
const (
	maps     = "services:\n  - name: maps\n"
	mapsPool = maps + "pools:\n  - name: maps\n    service: maps\n    slots: 17\n    promised: 11\n    connections: 130\n    upstreams: 5\n"
	hash     = "5e42f75ae5e91eeac915c906b016eb77609650fd075eea3d70f5fa81046aa62c"
)

// poolWith returns mapsPool with one line replaced.
func poolWith(line, replacement string) string {
	return strings.Replace(mapsPool, "    "+line+"\n", replacement, 1)
}

// org returns an organisation of three lines, followed by line.
func org(line string) string {
	return "organisations:\n  - name: gym\n    class: paying\n" + line + "\n"
}

// routeWith returns a valid route, its fields from line 12 on, with a text replaced.
func routeWith(old, replacement string) string {
	r := "routes:\n  - name: view\n    path: /walls\n    service: maps\n    pool: maps\n    idempotent: true\n"
	return mapsPool + strings.Replace(r, old, replacement, 1)
}

func files(pairs ...string) fstest.MapFS {
	fsys := fstest.MapFS{}
	for i := 0; i < len(pairs); i += 2 {
		fsys[pairs[i]] = &fstest.MapFile{Data: []byte(pairs[i+1])}
	}
	return fsys
}

// faults returns each fault of a LoadError as "Type file:line", with the inner type
// for a CheckError.
func faults(err error) []string {
	var load *LoadError
	if !errors.As(err, &load) {
		return nil
	}
	short := func(err error) string {
		name := fmt.Sprintf("%T", err)
		return name[strings.LastIndex(name, ".")+1:]
	}
	var out []string
	for _, f := range load.Faults {
		name := short(f)
		if c, ok := f.(*CheckError); ok {
			name = short(c.Err)
		}
		out = append(out, fmt.Sprintf("%s %s:%d", name, f.Position().File(), f.Position().Line()))
	}
	return out
}

func TestInvalidDeclarationsAreReportedByLine(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name, text string
		want       []string
	}{
		{"an unclosed bracket", "services: [", []string{"SyntaxError a.yaml:1"}},
		{"a tab as indentation", "services:\n\t- name: maps\n", []string{"SyntaxError a.yaml:2"}},
		{"binary data", "services:\n\x00\x01\x02", []string{"SyntaxError a.yaml:2"}},
		{"text that is not UTF-8", "services:\n  - name: \xff\xfe\n", []string{"SyntaxError a.yaml:2"}},
		{"two documents", maps + "---\n" + maps, []string{"SyntaxError a.yaml:4"}},
		{"a directive", "%YAML 1.2\n---\n" + maps, []string{"SyntaxError a.yaml:1"}},
		{"a complex key", "? services\n: []\n", []string{"SyntaxError a.yaml:1"}},
		{"too deeply nested brackets", strings.Repeat("[", 100_000), []string{"SyntaxError a.yaml:1"}},
		{"too deeply nested braces", strings.Repeat("{a: ", 100_000), []string{"SyntaxError a.yaml:1"}},
		{"too deeply nested list entries", strings.Repeat("- ", 100_000), []string{"SyntaxError a.yaml:1"}},
		{"too deeply nested fields", strings.Repeat("a: ", 100_000), []string{"SyntaxError a.yaml:1"}},
		{"too many fields", strings.Repeat("a:\n", 130_000), []string{"SyntaxError a.yaml:65"}},
		{"too many block scalars", strings.Repeat("a: >\n\n", 60_000), []string{"SyntaxError a.yaml:129"}},
		{"anchors that expand exponentially", "a: &a [x, x]\nb: &b [*a, *a]\nc: &c [*b, *b]\n", []string{"ReferenceError a.yaml:1"}},
		{"an alias", "services:\n  - name: *maps\n", []string{"ReferenceError a.yaml:2"}},
		{"a tag", "services: !!set\n  - name: maps\n", []string{"ReferenceError a.yaml:1"}},
		{"a merge key", maps + "  - <<: {name: x}\n", []string{"ReferenceError a.yaml:3"}},
		{"a file that holds a string", "maps\n", []string{"TypeError a.yaml:1"}},
		{"a file that holds a list", "- maps\n", []string{"TypeError a.yaml:1"}},
		{"a section that is not a list", "services:\n  name: maps\n", []string{"TypeError a.yaml:2"}},
		{"an empty section", "services:\n", []string{"TypeError a.yaml:1"}},
		{"an item that is not a mapping", "services:\n  - maps\n", []string{"TypeError a.yaml:2"}},
		{"an unknown section", maps + "servces:\n  - name: x\n", []string{"UnknownFieldError a.yaml:3"}},
		{"an unknown field", "services:\n  - name: maps\n    port: 80\n", []string{"UnknownFieldError a.yaml:3"}},
		{"a section given twice", maps + maps, []string{"RepeatedFieldError a.yaml:3"}},
		{"a field given twice", "services:\n  - name: maps\n    name: maps\n", []string{"RepeatedFieldError a.yaml:3"}},
		{"an object without a name", "services:\n  - {}\n", []string{"MissingFieldError a.yaml:2"}},
		{"an empty name", "services:\n  - name: \"\"\n", []string{"MissingFieldError a.yaml:2"}},
		{"a pool without promised capacity", poolWith("promised: 11", ""), []string{"MissingFieldError a.yaml:4"}},
		{"an organisation without a class", "organisations:\n  - name: gym\n", []string{"MissingFieldError a.yaml:2"}},
		{"a route that does not say whether it is idempotent", routeWith("    idempotent: true\n", ""), []string{"MissingFieldError a.yaml:11"}},
		{"an unknown class", "organisations:\n  - name: gym\n    class: gold\n", []string{"ChoiceError a.yaml:3"}},
		{"a name that is a number", "services:\n  - name: 12\n", []string{"TypeError a.yaml:2"}},
		{"slots in words", poolWith("slots: 17", "    slots: many\n"), []string{"TypeError a.yaml:6"}},
		{"a fractional number of slots", poolWith("slots: 17", "    slots: 1.5\n"), []string{"TypeError a.yaml:6"}},
		{"slots in octal", poolWith("slots: 17", "    slots: 0o17\n"), []string{"TypeError a.yaml:6"}},
		{"slots beyond 64 bits", poolWith("slots: 17", "    slots: 99999999999999999999\n"), []string{"TypeError a.yaml:6"}},
		{"slots beyond 32 bits", poolWith("slots: 17", "    slots: 4294967313\n"), []string{"ValueError a.yaml:6"}},
		{"zero slots", poolWith("slots: 17", "    slots: 0\n"), []string{"ValueError a.yaml:6", "ValueError a.yaml:7"}},
		{"negative connections", poolWith("connections: 130", "    connections: -1\n"), []string{"ValueError a.yaml:8"}},
		{"more promised than slots", poolWith("promised: 11", "    promised: 18\n"), []string{"ValueError a.yaml:7"}},
		{"zero upstreams", poolWith("upstreams: 5", "    upstreams: 0\n"), []string{"ValueError a.yaml:9"}},
		{"a pool of an unknown service", poolWith("service: maps", "    service: mops\n"), []string{"DanglingError a.yaml:5"}},
		{"a route to an unknown pool", routeWith("pool: maps", "pool: mops"), []string{"DanglingError a.yaml:14"}},
		{"a route to an unknown service", routeWith("service: maps", "service: mops"), []string{"DanglingError a.yaml:13", "ValueError a.yaml:14"}},
		{"a route to a pool of another service", routeWith("service: maps", "service: ledger") + "limits: []\n", []string{"DanglingError a.yaml:13", "ValueError a.yaml:14"}},
		{"a relative path", routeWith("/walls", "walls"), []string{"ValueError a.yaml:12"}},
		{"a path with a query", routeWith("/walls", "/walls?x=1"), []string{"ValueError a.yaml:12"}},
		{"a path too long", routeWith("/walls", "/"+strings.Repeat("w", 600)), []string{"ValueError a.yaml:12"}},
		{"a path with a control character", routeWith("/walls", `"/walls\x7f"`), []string{"ValueError a.yaml:12"}},
		{"a host with a control character", routeWith("path: /walls", `path: /walls`+"\n    host: \"gyms\\n\""), []string{"ValueError a.yaml:13"}},
		{"a host with a port", routeWith("path: /walls", "path: /walls\n    host: gyms:80"), []string{"ValueError a.yaml:13"}},
		{"an unknown method", routeWith("path: /walls", "path: /walls\n    methods: [FETCH]"), []string{"ValueError a.yaml:13"}},
		{"a wildcard method", routeWith("path: /walls", "path: /walls\n    methods: [\"*\"]"), []string{"ValueError a.yaml:13"}},
		{"a method given twice", routeWith("path: /walls", "path: /walls\n    methods: [GET, GET]"), []string{"OverlapError a.yaml:12"}},
		{"methods that are not a list", routeWith("path: /walls", "path: /walls\n    methods: GET"), []string{"TypeError a.yaml:13"}},
		{"idempotent in words", routeWith("true", "yes"), []string{"TypeError a.yaml:15"}},
		{"a deadline without a unit", routeWith("path: /walls", "path: /walls\n    deadline: 5"), []string{"DurationError a.yaml:13"}},
		{"a deadline in words", routeWith("path: /walls", "path: /walls\n    deadline: soon"), []string{"DurationError a.yaml:13"}},
		{"a deadline that is a list", routeWith("path: /walls", "path: /walls\n    deadline: [1s]"), []string{"TypeError a.yaml:13"}},
		{"a negative deadline", routeWith("path: /walls", "path: /walls\n    deadline: -1s"), []string{"ValueError a.yaml:13"}},
		{"a deadline finer than a millisecond", routeWith("path: /walls", "path: /walls\n    deadline: 1500us"), []string{"ValueError a.yaml:13"}},
		{"too many retries", routeWith("path: /walls", "path: /walls\n    retries: 6"), []string{"ValueError a.yaml:13"}},
		{"two routes for the same calls", routeWith("", "") + "  - name: view2\n    path: /walls\n    service: maps\n    pool: maps\n    idempotent: true\n", []string{"OverlapError a.yaml:17"}},
		{"a name in capitals", "services:\n  - name: Maps\n", []string{"ValueError a.yaml:2"}},
		{"a name too long", "services:\n  - name: " + strings.Repeat("m", 64) + "\n", []string{"ValueError a.yaml:2"}},
		{"a key instead of its hash", org("    keys: [demo-gym]"), []string{"ValueError a.yaml:4"}},
		{"a hash in capitals", org("    keys: [" + strings.ToUpper(hash) + "]"), []string{"ValueError a.yaml:4"}},
		{"a key given twice", org("    keys: [" + hash + ", " + hash + "]"), []string{"OverlapError a.yaml:4"}},
		{"a key that is a number", org("    keys: [12]"), []string{"TypeError a.yaml:4"}},
		{"too many keys", org("    keys: [" + strings.Repeat("x,", 1001) + "]"), append([]string{"ValueError a.yaml:4"}, repeat("ValueError a.yaml:4", 1001)...)},
		{"an object too large", org("    keys: [" + strings.Repeat("x", 5000) + "]"), []string{"SizeError a.yaml:2", "ValueError a.yaml:4"}},
		{"a service declared twice", maps + "  - name: maps\n", []string{"DuplicateError a.yaml:3"}},
		{"a limit of an unknown organisation", "limits:\n  - organisation: gym\n    rate: 5\n", []string{"DanglingError a.yaml:2"}},
		{"a limit without an organisation", "limits:\n  - rate: 5\n", []string{"MissingFieldError a.yaml:2"}},
		{"a negative rate", org("limits:\n  - organisation: gym\n    rate: -1"), []string{"ValueError a.yaml:6"}},
		{"a rate that is not a number", org("limits:\n  - organisation: gym\n    rate: .nan"), []string{"TypeError a.yaml:6"}},
		{"a rate that is text", org("limits:\n  - organisation: gym\n    rate: \"5\""), []string{"TypeError a.yaml:6"}},
		{"concurrency above its limit", org("limits:\n  - organisation: gym\n    concurrency: 1000001"), []string{"ValueError a.yaml:6"}},
		{"availability of one", maps + "objectives:\n  - service: maps\n    availability: 1\n    latency: 1s\n    window: 720h\n", []string{"ValueError a.yaml:5"}},
		{"a window too short", maps + "objectives:\n  - service: maps\n    availability: 0.9\n    latency: 1s\n    window: 5m\n", []string{"ValueError a.yaml:7"}},
		{"a window finer than an hour", maps + "objectives:\n  - service: maps\n    availability: 0.9\n    latency: 1s\n    window: 90m\n", []string{"ValueError a.yaml:7"}},
		{"an objective for an unknown service", "objectives:\n  - service: maps\n    availability: 0.9\n    latency: 1s\n    window: 24h\n", []string{"DanglingError a.yaml:2"}},
		{"only a comment", "# to do\n", []string{"EmptyError .:0"}},
		{"an empty mapping", "{}\n", []string{"EmptyError .:0"}},
		{
			"several faults in one file", "services:\n  - nme: maps\nroutes:\n  - name: view\n    path: walls\n    service: maps\n    pool: maps\n    idempotent: maybe\n    deadline: x\n",
			[]string{"MissingFieldError a.yaml:2", "UnknownFieldError a.yaml:2", "ValueError a.yaml:5", "TypeError a.yaml:8", "DurationError a.yaml:9"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			set, err := Load(files("a.yaml", tt.text))
			if set != nil {
				t.Fatal("Load returned a set as well as faults")
			}
			if diff := cmp.Diff(tt.want, faults(err)); diff != "" {
				t.Errorf("%s\n%v", diff, err)
			}
		})
	}
}

func repeat(s string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = s
	}
	return out
}

func TestInvalidFoldersAreReported(t *testing.T) {
	t.Parallel()
	manyFiles := fstest.MapFS{}
	for i := range maxFiles + 1 {
		manyFiles[fmt.Sprintf("%04d.yaml", i)] = &fstest.MapFile{Data: []byte("#")}
	}
	var services strings.Builder
	for i := range maxObjects / 10 {
		fmt.Fprintf(&services, "  - name: s%%d-%d\n", i)
	}
	manyObjects := fstest.MapFS{}
	for i := range 11 {
		text := "services:\n" + strings.ReplaceAll(services.String(), "%d", fmt.Sprint(i))
		manyObjects[fmt.Sprintf("%02d.yaml", i)] = &fstest.MapFile{Data: []byte(text)}
	}
	manyBytes := fstest.MapFS{}
	for i := range 17 {
		manyBytes[fmt.Sprintf("%02d.yaml", i)] = &fstest.MapFile{Data: []byte("#" + strings.Repeat(" ", maxFileBytes-1))}
	}
	for _, tt := range []struct {
		name string
		fsys fstest.MapFS
		want []string
	}{
		{"an empty folder", files(), []string{"EmptyError .:0"}},
		{"no declarations", files("README.md", "# hi"), []string{"EmptyError .:0"}},
		{"a file extension that is not read", files("a.yaml", maps, "b.yml", maps), []string{"ExtensionError b.yml:0"}},
		{"a duplicate across files", files("a.yaml", maps, "b/c.yaml", maps), []string{"DuplicateError b/c.yaml:2"}},
		{"a key of two organisations across files", files("a.yaml", org("    keys: ["+hash+"]"), "b.yaml", strings.Replace(org("    keys: ["+hash+"]"), "gym", "hall", 1)), []string{"OverlapError b.yaml:4"}},
		{"a fault in each file", files("a.yaml", "x: 1\n", "b.yaml", "["), []string{"UnknownFieldError a.yaml:1", "SyntaxError b.yaml:1"}},
		{"a reference to an object that an unreadable file may hold", files("a.yaml", "[", "b.yaml", mapsPool[len(maps):]), []string{"SyntaxError a.yaml:1"}},
		{"a file too large", files("a.yaml", strings.Repeat(" ", maxFileBytes+1)), []string{"SizeError a.yaml:0"}},
		{"too many files", manyFiles, []string{"SizeError 2800.yaml:0"}},
		{"too many bytes", manyBytes, []string{"SizeError 16.yaml:0"}},
		{"too many objects", manyObjects, []string{"SizeError 10.yaml:0"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			_, err := Load(tt.fsys)
			if diff := cmp.Diff(tt.want, faults(err)); diff != "" {
				t.Errorf("%s\n%v", diff, err)
			}
		})
	}
}

func TestUnreadableFolderErrorHasItsCause(t *testing.T) {
	t.Parallel()
	_, err := Load(os.DirFS("no/such/folder"))
	if diff := cmp.Diff([]string{"FileError .:0"}, faults(err)); diff != "" {
		t.Error(diff)
	}
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want an error that wraps os.ErrNotExist", err)
	}
}

func TestFaultMessageStartsWithFileLineColumn(t *testing.T) {
	t.Parallel()
	_, err := Load(files("maps.yaml", poolWith("promised: 11", "    promised: 18\n")))
	want := "maps.yaml:7:5: pool/maps: promised: is 18, must be between 0 and 17"
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

func TestExampleDeclarationsRouteCalls(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		folder, host, method, path, key string
		route                           string
		class                           snapshot.Class
		idempotent                      bool
	}{
		{"insurer", "", "GET", "/policies/BL-2210", "demo-broker-limon", "policy-lookup", snapshot.Paying, true},
		{"insurer", "", "POST", "/bindings", "demo-broker-moin", "bind-cover", snapshot.Trial, false},
		{"insurer", "", "POST", "/claims/77/payments", "demo-broker-caldera", "settle-claim", snapshot.Paying, false},
		{"khadtai", "", "GET", "/walls/3", "demo-big-wall-gyms", "wall-view", snapshot.Paying, true},
		{"khadtai", "", "POST", "/ascents", "demo-steppe-crimpers", "log-send", snapshot.Trial, false},
		{"khadtai", "", "POST", "/resets", "demo-gobi-boulder", "reset-wall", snapshot.Paying, false},
	} {
		set, err := Load(os.DirFS("../../../examples/" + tt.folder))
		if err != nil {
			t.Fatal(err)
		}
		_, s, err := snapshot.Empty().Next(snapshot.NewChange(set.Objects(), nil), snapshot.Stamp{})
		if err != nil {
			t.Fatal(err)
		}
		o, known := s.Identify(tt.key)
		r, found := s.Match(tt.host, tt.path, tt.method)
		if !known || !found || o.Class() != tt.class || r.Name() != tt.route || r.Idempotent() != tt.idempotent {
			t.Errorf("%s: %s %s by %s: got %v, %v", tt.folder, tt.method, tt.path, tt.key, o, r)
		}
	}
}

func TestValidDeclarationsKeepPositions(t *testing.T) {
	t.Parallel()
	set, err := Load(files("a.yaml", mapsPool))
	if err != nil {
		t.Fatal(err)
	}
	k := snapshot.Key{Kind: snapshot.KindPool, Name: "maps"}
	object, _ := set.Position(k)
	slots, _ := set.FieldPosition(k, "slots")
	_, known := set.Position(snapshot.Key{Kind: snapshot.KindPool, Name: "none"})
	got := fmt.Sprint(object, " ", slots, " ", known, " ", len(set.Objects()))
	if want := "a.yaml:4:5 a.yaml:6:5 false 2"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func FuzzLoad(f *testing.F) {
	for _, seed := range []string{
		mapsPool, org("    keys: [" + hash + "]"), routeWith("", ""), "a: &a [*a]", "{", "- - -", "? a\n: b",
		"services:\n- name: |\n  x\n", "a: 'b", "a: \"\\u12", "services: [{name: a}, {name: b}]", "\ufeffservices: []",
		"routes:\n- {deadline: 1s, path: }\n", "a:\r\n- b\r", "!!binary x", "--- >\n x\n...\n", "0x: .inf", "\"a\" \"b\"", "[a, b: c]", "a: [}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		set, err := Load(fstest.MapFS{"a.yaml": {Data: b}})
		if err == nil {
			if err := snapshot.Check(set.Objects()); err != nil {
				t.Fatalf("Load accepted objects that a node refuses: %v", err)
			}
			return
		}
		var load *LoadError
		if !errors.As(err, &load) || len(load.Faults) == 0 || err.Error() == "" {
			t.Fatalf("Load failed without typed faults: %v", err)
		}
	})
}

// The example in docs/DECLARATIONS.md must load and use every field, and the page
// must name each field.
func TestDeclarationsPageCoversEveryField(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../../../docs/DECLARATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```yaml\n")
	example, _, _ := strings.Cut(rest, "```")
	set, err := Load(files("page.yaml", example))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(set.Objects()); n != 6 {
		t.Errorf("the example has %d objects, want one of each kind", n)
	}
	for _, o := range set.Objects() {
		for _, f := range Fields(o) {
			if !strings.Contains(string(page), "`"+f.Name+"`") || f.Value == "" {
				t.Errorf("%s: the page does not name field %s, or its example has no value for it", o.Key(), f.Name)
			}
		}
	}
}

func TestDecodeReadsEncodedObjects(t *testing.T) {
	t.Parallel()
	for _, folder := range []string{"insurer", "khadtai"} {
		set, err := Load(os.DirFS("../../../examples/" + folder))
		if err != nil {
			t.Fatal(err)
		}
		b, err := Encode(set.Objects())
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode("encoded", b)
		if err != nil {
			t.Fatal(err)
		}
		change, err := buildSnapshot(t, set.Objects()).Diff(got.Objects())
		if err != nil || !change.Empty() {
			t.Errorf("%s: decoded objects differ from the encoded ones: %v, %v", folder, change, err)
		}
	}
}

// Guards against JSON escapes that YAML reads differently: objects are sent as JSON
// and decoded as YAML, and paths may hold almost any character.
func TestEncodedPathsRoundTrip(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		r := snapshot.NewRoute("r", "/"+rapid.String().Draw(t, "path"), "s", "p")
		objects := []snapshot.Object{snapshot.NewService("s"), snapshot.NewPool("p", "s"), r}
		if snapshot.Check(objects) != nil || !utf8.ValidString(r.Path()) {
			t.Skip("not a valid path")
		}
		b, err := Encode(objects)
		if err != nil {
			t.Fatal(err)
		}
		set, err := Decode("encoded", b)
		if err != nil {
			t.Fatalf("%q: %v", r.Path(), err)
		}
		if got := set.Objects()[2].(snapshot.Route).Path(); got != r.Path() {
			t.Fatalf("sent %q, read %q", r.Path(), got)
		}
	})
}

func buildSnapshot(t *testing.T, objects []snapshot.Object) *snapshot.Snapshot {
	t.Helper()
	_, s, err := snapshot.Empty().Next(snapshot.NewChange(objects, nil), snapshot.Stamp{})
	if err != nil {
		t.Fatal(err)
	}
	return s
}
