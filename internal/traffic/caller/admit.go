package caller

import (
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// Limiter holds organisations to their limits.
type Limiter interface {
	// Enter lets a call of an organisation in, or returns a LimitError; leave
	// is called when the call has ended.
	Enter(now time.Time, organisation string, limit snapshot.Limit) (leave func(now time.Time), err error)
}

// admit holds the organisation to its limits. A call that is part of another
// is not counted again: what the organisation asked for was let in once, and
// refusing it halfway would waste what it has used.
func (c *call) admit() (release func(), err error) {
	limit, ok := c.snap.Limit(c.org.Name())
	if !ok || c.parent != nil {
		return func() {}, nil
	}
	leave, err := c.h.limiter.Enter(c.began, c.org.Name(), limit)
	if err != nil {
		return nil, err
	}
	return func() { leave(c.h.clk.Now()) }, nil
}

// readBody reads a short body whole, before any target waits for it.
func (c *call) readBody() error {
	body, err := hop.ReadBody(c.w, c.r, c.until)
	c.body = body
	return err
}

type unlimited struct{}

func (unlimited) Enter(time.Time, string, snapshot.Limit) (func(time.Time), error) {
	return func(time.Time) {}, nil
}
