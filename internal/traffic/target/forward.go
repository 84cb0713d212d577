package target

import (
	"strconv"

	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// forward sends the call to the target and passes its answer on.
func (c *call) forward() (began bool, status int, err error) {
	left := c.until.Sub(c.h.clk.Now())
	parent := hop.NewParent(c.meta, c.until)
	req := hop.NewRequest(c.r.Method, c.r.URL.RequestURI(), c.r.Host, c.r.Header, c.body,
		hop.WithHeader(hop.CallHeader, c.h.sealer.Seal(parent)),
		hop.WithHeader(hop.DeadlineHeader, strconv.FormatInt(max(1, left.Milliseconds()), 10)),
		hop.WithHeader(hop.OrganisationHeader, c.meta.Organisation()),
		hop.WithHeader(hop.ClassHeader, c.meta.Class().String()),
	)
	answer, err := c.h.client.Do(c.r.Context(), c.h.local, req, c.until)
	if err != nil {
		return false, 0, err
	}
	defer answer.Close()
	c.w.Header()[hop.LoadHeader] = []string{c.h.slots.load()}
	relayed, err := hop.Relay(c.w, answer, false)
	return relayed.Began(), answer.Status(), err
}
