package tree

import "time"

// Freshness is the latest time at which a root is known to have reported. The zero value
// knows of no report.
type Freshness struct{ at time.Time }

// Update records the age of a parent's last report from a root. An older report than the
// known one changes nothing: the node has not lost what it received, and passing on the
// older age would make its children leave it.
func (f *Freshness) Update(now time.Time, age time.Duration) {
	// A time in the future is left over from before the clock moved back.
	if at := now.Add(-age); at.After(f.at) || f.at.After(now) {
		f.at = at
	}
}

// Age returns the time since the latest known report.
func (f *Freshness) Age(now time.Time) time.Duration { return max(0, now.Sub(f.at)) }

// Known reports whether there was any report.
func (f *Freshness) Known() bool { return !f.at.IsZero() }
