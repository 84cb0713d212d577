package node

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/control/operator"
)

// SettingError reports a setting that cannot be used.
type SettingError struct {
	Name   string
	Reason string
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting -%s: %s", e.Name, e.Reason) }

// Settings are the settings of a node, read from flags.
type Settings struct {
	instance, domain, pool          string
	callers, mesh, peers, operators string
	admin, target, store            string
	seeds, fleetKey, fleetKeyFile   string
	operatorTokens                  string
	advertiseMesh, advertisePeers   string
	tlsCert, tlsKey, tlsCA          string
	drainTimeout                    time.Duration
	limits                          bool
	procs                           int
	seed                            uint64
}

// Bounds of -drain-timeout: a shorter one would cut off ordinary calls, and one
// longer than any deadline would only delay the instance's next process.
const minDrainTimeout, maxDrainTimeout = 100 * time.Millisecond, 10 * time.Minute

// maxProcs is the upper bound of -procs.
const maxProcs = 64

// Register defines the node's flags in fs and returns the settings that parsing
// them fills.
func Register(fs *flag.FlagSet) *Settings {
	s := &Settings{}
	stringFlag := func(field *string, name, value, usage string) { fs.StringVar(field, name, value, usage) }
	stringFlag(&s.instance, "instance", "", "`NAME` of this instance, unique in the mesh: 1 to 63 of a-z, 0-9 and -")
	stringFlag(&s.domain, "failure-domain", "", "failure domain of this instance: a `NAME`, or region/name")
	stringFlag(&s.pool, "pool", "", "`POOL` that the local target serves; empty for a node that only carries calls out")
	stringFlag(&s.target, "target", "", "`IP:PORT` of the local target; needed with -pool")
	stringFlag(&s.callers, "callers", "127.0.0.1:7001", "`IP:PORT` on which callers reach this node")
	stringFlag(&s.mesh, "mesh", "127.0.0.1:7002", "`IP:PORT` on which other nodes send calls for the local target")
	stringFlag(&s.peers, "peers", "127.0.0.1:7003", "`IP:PORT` on which other nodes reach this node for control")
	stringFlag(&s.advertiseMesh, "advertise-mesh", "", "`IP:PORT` that others are told for -mesh, behind address translation; empty for the one it listens on")
	stringFlag(&s.advertisePeers, "advertise-peers", "", "`IP:PORT` that others are told for -peers, behind address translation; empty for the one it listens on")
	stringFlag(&s.operators, "operators", "127.0.0.1:7400", "`IP:PORT` of the operators' API; empty turns it off")
	stringFlag(&s.admin, "admin", "127.0.0.1:7004", "`IP:PORT` of /metrics, /healthz, /readyz and /debug/pprof")
	stringFlag(&s.store, "store", "", "`IP:PORT` of the platform's key-value service; empty for none")
	stringFlag(&s.seeds, "seeds", "", "control addresses `IP:PORT`, separated by commas, to ask first when the store is out")
	stringFlag(&s.fleetKey, "fleet-key", "", "`SECRET` shared by all nodes, 16 bytes or more; better set in the environment")
	stringFlag(&s.fleetKeyFile, "fleet-key-file", "", "`FILE` to read the fleet key from, in place of -fleet-key")
	stringFlag(&s.operatorTokens, "operator-tokens", "", "operators as `NAME:HASH`, separated by commas; `banyanlug key -operator NAME` makes one")
	stringFlag(&s.tlsCert, "tls-cert", "", "PEM `FILE` of the certificate for control, calls between nodes and operators; with -tls-key and -tls-ca")
	stringFlag(&s.tlsKey, "tls-key", "", "PEM `FILE` of the private key of -tls-cert")
	stringFlag(&s.tlsCA, "tls-ca", "", "PEM `FILE` of the authority that signs the nodes' certificates")
	fs.DurationVar(&s.drainTimeout, "drain-timeout", 30*time.Second,
		"how long a stop waits for calls in flight, a duration between 100ms and 10m")
	fs.BoolVar(&s.limits, "limits", false, "hold organisations to their declared limits; docs/operators/limits.md says what that costs their first calls")
	fs.IntVar(&s.procs, "procs", 2, "how many processors the node runs on at once, 1 to 64; the target beside it needs the others")
	fs.Uint64Var(&s.seed, "seed", 0, "seed of random choices; 0 takes one from the start time")
	return s
}

// Check returns a *SettingError for the first setting that cannot be used, or nil.
func (s *Settings) Check() error {
	if !isName(s.instance) {
		return &SettingError{"instance", fmt.Sprintf("%q must be 1 to 63 of a-z, 0-9 and -", s.instance)}
	}
	if region, name, ok := strings.Cut(s.domain, "/"); !isName(region) || ok && !isName(name) {
		return &SettingError{"failure-domain", fmt.Sprintf("%q must be a name of a-z, 0-9 and -, or region/name", s.domain)}
	}
	if s.pool != "" && !isName(s.pool) {
		return &SettingError{"pool", fmt.Sprintf("%q must be 1 to 63 of a-z, 0-9 and -", s.pool)}
	}
	if (s.pool == "") != (s.target == "") {
		return &SettingError{"target", "must be set with -pool and only with it"}
	}
	for _, c := range []struct {
		name, value string
		optional    bool
	}{
		{"target", s.target, true},
		{"callers", s.callers, false},
		{"mesh", s.mesh, false},
		{"peers", s.peers, false},
		{"advertise-mesh", s.advertiseMesh, true},
		{"advertise-peers", s.advertisePeers, true},
		{"operators", s.operators, true},
		{"admin", s.admin, false},
		{"store", s.store, true},
	} {
		if c.optional && c.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(c.value); err != nil {
			return &SettingError{c.name, fmt.Sprintf("%q is not an IP:port address", c.value)}
		}
	}
	if _, err := s.parseSeeds(); err != nil {
		return err
	}
	if s.store == "" && s.seeds == "" {
		return &SettingError{"store", "set -store, -seeds or both: without them the node cannot find its peers"}
	}
	return s.checkSecrets()
}

func (s *Settings) checkSecrets() error {
	if key, err := s.loadFleetKey(); err != nil {
		return err
	} else if len(key) < minFleetKeyBytes {
		return &SettingError{"fleet-key", fmt.Sprintf("has %d bytes, needs %d or more", len(key), minFleetKeyBytes)}
	}
	if _, err := s.parseOperatorTokens(); err != nil {
		return err
	}
	if some, all := s.tlsCert+s.tlsKey+s.tlsCA != "", s.tlsCert != "" && s.tlsKey != "" && s.tlsCA != ""; some && !all {
		return &SettingError{"tls-cert", "-tls-cert, -tls-key and -tls-ca must be set together"}
	}
	if s.procs < 1 || s.procs > maxProcs {
		return &SettingError{"procs", fmt.Sprintf("%d must be between 1 and %d", s.procs, maxProcs)}
	}
	if s.drainTimeout < minDrainTimeout || s.drainTimeout > maxDrainTimeout {
		return &SettingError{"drain-timeout", fmt.Sprintf("%v must be between %v and %v", s.drainTimeout, minDrainTimeout, maxDrainTimeout)}
	}
	return nil
}

// minFleetKeyBytes is the shortest fleet key: 128 bits resist guessing.
const minFleetKeyBytes = 16

func isName(s string) bool {
	return s != "" && len(s) <= 63 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

func (s *Settings) parseSeeds() ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for text := range strings.SplitSeq(s.seeds, ",") {
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, &SettingError{"seeds", fmt.Sprintf("%q is not an IP:port address", text)}
		}
		out = append(out, a)
	}
	return out, nil
}

func (s *Settings) loadFleetKey() ([]byte, error) {
	if s.fleetKeyFile == "" {
		return []byte(s.fleetKey), nil
	}
	if s.fleetKey != "" {
		return nil, &SettingError{"fleet-key-file", "cannot be combined with -fleet-key"}
	}
	b, err := os.ReadFile(s.fleetKeyFile)
	if err != nil {
		return nil, &SettingError{"fleet-key-file", err.Error()}
	}
	return []byte(strings.TrimSpace(string(b))), nil
}

func (s *Settings) parseOperatorTokens() ([]operator.Token, error) {
	var out []operator.Token
	for text := range strings.SplitSeq(s.operatorTokens, ",") {
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		t, err := operator.ParseToken(text)
		if err != nil {
			return nil, &SettingError{"operator-tokens", err.Error()}
		}
		out = append(out, t)
	}
	return out, nil
}
