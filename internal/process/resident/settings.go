package resident

import (
	"fmt"
	"net/netip"
	"time"
)

// SettingError is returned for a missing or invalid setting.
type SettingError struct{ Name, Reason string }

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Name, e.Reason) }

// Settings are the settings with which a resident node starts.
type Settings struct {
	Instance string // unique in the mesh
	Domain   string // failure domain
	Pool     string // pool that the target belongs to
	Target   string // IP:port of the target
	Callers  string // IP:port on which callers reach the node
	Mesh     string // IP:port on which other nodes send calls
	Peers    string // IP:port of the control server for other nodes
	Admin    string // IP:port of the metrics server, or "" for none
	Link     int    // bandwidth of the instance's network link in Mbit/s, 0 if unknown
	Sockets  int    // how many sockets the process may open, 0 if unknown
	Reloadable
}

// Reloadable are the settings that can change while the node runs.
type Reloadable struct {
	// Grace is the longest time that the process may take to stop.
	Grace time.Duration
	// RetryShare and RetrySpare bound the retries of the whole mesh: RetryShare as
	// a share of a service's calls, from 0 to 1, and RetrySpare as a number of
	// retries allowed in addition.
	RetryShare float64
	RetrySpare int
	// CanaryShare is the largest share of a pool's calls, from 0 to 1, that an
	// unproven candidate version receives; with 0, rollout orders are ignored.
	CanaryShare float64
	// An organisation's calls may exceed its limit in each QuotaWindow by the share
	// QuotaOverage, and by QuotaSlack calls in addition.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
}

// Check returns a SettingError for the first missing or invalid setting.
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
			return &SettingError{c.name, fmt.Sprintf("%q is not in the form IP:port", c.value)}
		}
	}
	if s.Grace <= 0 {
		return &SettingError{"grace", "must be longer than 0"}
	}
	return nil
}
