package fleet

import (
	"testing"

	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/standin/responder"
)

// Guards against members and versions that are taken from a response which isn't one of the protocol.
func TestInvalidResponsesOfNodesAreErrors(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	f := New(nil, h.clk, membership.NewRecord("n1"), configKey, h.decode)
	responder.CheckRefused(t, f.pooledHTTP)
	responder.CheckRefused(t, f.oneShotHTTP)
}
