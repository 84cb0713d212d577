package resident

import (
	"fmt"
	"net/netip"
	"time"
)

// SettingError tells of a setting that can't be used.
type SettingError struct{ Name, Reason string }

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Name, e.Reason) }

// Settings are what a resident node is told when it starts.
type Settings struct {
	Instance string // unique in the mesh
	Domain   string // failure domain
	Pool     string // that the target serves
	Target   string // IP:port of the target
	Callers  string // IP:port on which callers reach the node
	Mesh     string // IP:port on which other nodes send calls
	Peers    string // IP:port on which other nodes ask
	Admin    string // IP:port of metrics, or ""
	Link     int    // bandwidth of the instance's own link in Mbit/s, 0 if not known
	Bounds
}

// Bounds are the settings that a running node takes over.
type Bounds struct {
	// Grace is how long the process may take to stop.
	Grace time.Duration
	// RetryShare and RetrySpare bound the further attempts of the whole mesh: a
	// share of the calls of a service, from 0 to 1, and some besides.
	RetryShare float64
	RetrySpare int
	// CanaryShare bounds the share of a pool's calls that go to a version which is
	// rolled out before it has proved itself; 0 leaves orders of rollouts alone.
	CanaryShare float64
}

// Check returns the first setting that can't be used as a SettingError.
func (s *Settings) Check() error {
	for _, c := range []struct{ name, value string }{
		{"instance", s.Instance}, {"failure domain", s.Domain}, {"pool", s.Pool},
	} {
		if c.value == "" {
			return &SettingError{c.name, "is missing"}
		}
	}
	for _, c := range []struct {
		name, value string
		optional    bool
	}{
		{"target", s.Target, false},
		{"callers", s.Callers, false},
		{"mesh", s.Mesh, false},
		{"peers", s.Peers, false},
		{"admin", s.Admin, true},
	} {
		if c.optional && c.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(c.value); err != nil {
			return &SettingError{c.name, fmt.Sprintf("%q is no IP:port", c.value)}
		}
	}
	if s.Grace <= 0 {
		return &SettingError{"grace", "must be longer than 0"}
	}
	return nil
}
