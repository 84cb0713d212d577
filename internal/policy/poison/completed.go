package poison

// maxCompleted is the number of fingerprints at which Completed begins a new generation.
const maxCompleted = 1024

// Completed remembers the calls that one target has completed lately. It is not safe for
// concurrent use.
//
// A call that the target has survived is not the one that makes it crash. Without this, a
// call that many callers repeat is in flight at every crash and would be held back.
type Completed struct{ recent, older map[Fingerprint]bool }

// Add records a call that the target has completed.
func (c *Completed) Add(call Call) {
	if c.recent == nil || len(c.recent) >= maxCompleted {
		c.older, c.recent = c.recent, make(map[Fingerprint]bool)
	}
	c.recent[call.Exact], c.recent[call.Content] = true, true
}

// Contains reports whether the target has completed a call with a fingerprint lately.
func (c *Completed) Contains(f Fingerprint) bool { return c.recent[f] || c.older[f] }
