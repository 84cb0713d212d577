package quota

import (
	"context"

	"banyanlug.example/banyanlug/internal/control/quotapb"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

// relayClient is the node's link to the relay of its domain.
type relayClient struct{ link link }

// sendNodeHeartbeat sends the due reports to the relay and applies the grants of the
// response.
func (a *Agent) sendNodeHeartbeat(ctx context.Context) {
	if !a.selectRelay() {
		return
	}
	l := &a.relayClient.link
	send := a.client(l.parent).Node
	self := a.mesh.Self().Instance()
	if l.reportAll && !a.ensureStamp(ctx, l, send, &quotapb.Heartbeat{Child: self}) {
		return
	}
	reports := a.limiter.Reports(a.clock.Now(), l.reportAll)
	if len(reports) == 0 && !l.reportAll {
		return
	}
	if !a.ensureStamp(ctx, l, send, &quotapb.Heartbeat{Child: self}) {
		l.reportAll = true
		return
	}
	h := &quotapb.Heartbeat{Child: self, SeatTerm: a.locator.known().term, Reports: reportsToProto(reports)}
	resp, sentAt, ok := a.sendHeartbeat(ctx, l, send, h)
	if !ok {
		// The relay may not have received these reports, and the limiter returns each
		// only once.
		l.reportAll = true
		return
	}
	a.limiter.ApplyGrants(sentAt, grantsFromProto(resp.GetGrants()))
	if info, ok := seatFromProto(resp.GetSeat()); ok {
		a.locator.update(info)
	}
}

// selectRelay chooses the node's relay, and returns false if there is none. The node
// stays with a relay that still accepts its heartbeats even if its view names
// another root: two relays would both grant the domain's share.
func (a *Agent) selectRelay() bool {
	root, ok := a.mesh.Root()
	l := &a.relayClient.link
	if !ok {
		return l.parent.instance != ""
	}
	parent := endpointOf(root)
	switch {
	case l.parent.instance == "":
		*l = newLink(parent)
	case l.parent == parent:
	case l.notAllocator || a.relayEnded(l.parent):
		*l = newLink(parent)
	case l.failures >= maxFailures:
		// The relay may be alive and grant to others what this node holds.
		a.limiter.DropShares()
		*l = newLink(parent)
	}
	return true
}

// relayEnded reports whether the relay has left, restarted, or is suspected.
func (a *Agent) relayEnded(relay endpoint) bool {
	r, ok := a.mesh.View().Record(a.mesh.View().Domain(), relay.instance)
	return !ok || r.Boot() != relay.boot || r.State() == membership.Suspect || r.State() == membership.Gone
}
