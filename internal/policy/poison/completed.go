package poison

// maxCompleted bounds each of the two generations of Completed.
const maxCompleted = 1024

// Completed remembers the calls that one target process has completed lately. It is not
// safe for concurrent use.
//
// A call that the process has survived is not the one that made it crash. Without this, a
// call that many callers repeat is in flight at every crash and would be held back.
type Completed struct{ recent, older map[Fingerprint]bool }

// Add records a call that the process has completed.
func (c *Completed) Add(f Fingerprint) {
	if c.recent == nil || len(c.recent) >= maxCompleted {
		c.older, c.recent = c.recent, make(map[Fingerprint]bool)
	}
	c.recent[f] = true
}

// Contains reports whether the process has completed a call lately.
func (c *Completed) Contains(f Fingerprint) bool { return c.recent[f] || c.older[f] }
