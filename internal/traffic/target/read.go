package target

import "banyanlug.example/banyanlug/internal/traffic/hop"

// read takes in what the other node tells of the call, and a short body.
func (c *call) read() error {
	meta, err := hop.ReadMeta(c.r.Header)
	if err != nil {
		return err
	}
	// An instance may have been replaced by one of another pool at the same
	// address while the other node still held the earlier record.
	if meta.Pool() != c.h.slots.pool {
		return &PoolError{Asked: meta.Pool(), Serves: c.h.slots.pool}
	}
	if t := c.h.slots.beside.Load(); t != nil && meta.Instance() != t.ID() {
		return &InstanceError{Asked: meta.Instance(), Runs: t.ID()}
	}
	c.meta = meta
	c.until = c.h.clk.Now().Add(meta.Left())
	c.h.dialect.Strip(c.r.Header)
	c.body, err = hop.ReadBody(c.w, c.r, c.until)
	return err
}
