package target

import "banyanlug.example/banyanlug/internal/traffic/hop"

// read parses the call's metadata and reads a short body.
func (c *call) read() error {
	meta, err := hop.ReadMeta(c.r.Header)
	if err != nil {
		return err
	}
	// An instance of another pool may have taken over this address while the
	// sending node still held the earlier record.
	if meta.Pool() != c.h.slots.pool {
		return &WrongPoolError{Requested: meta.Pool(), Serves: c.h.slots.pool}
	}
	if err := c.h.slots.checkProcess(meta.Instance()); err != nil {
		return err
	}
	c.meta = meta
	c.deadline = c.h.drain.Limit(c.h.clk.Now().Add(meta.Remaining()))
	c.h.headerNames.Strip(c.r.Header)
	c.body, err = hop.ReceiveBody(c.w, c.r, meta, c.deadline)
	return err
}
