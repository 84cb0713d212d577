package issuer

import (
	"context"
	"fmt"
	"io"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/issuer/issuerpb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/token"
)

const (
	// levelLogPause is the least time between two lines of event 1411 about an organisation.
	levelLogPause = 10 * time.Second
	// askInterval is the time between two questions to other issuers for their demand.
	askInterval = time.Second
	// maxAsked bounds the organisations that an issuer asks others about at a time.
	maxAsked = 256
	// usageUnits is the whole limit in the unit in which issuers tell their demand.
	usageUnits = 1000
	// maxReported bounds the organisations in an issuer's metrics.
	maxReported = 32
)

// Level returns the level that the next call of an organisation carries: 0 for one that uses
// little of its limit, up to token.HighestLevel.
func (a *Agent) Level(now time.Time, l snapshot.Limit) int {
	if l.Rate() <= 0 {
		return 0
	}
	return a.cache.Level(now, l, a.members.Size())
}

// observe records a request for n tokens at this issuer and returns the organisation's level.
func (a *Agent) observe(l snapshot.Limit, p token.Plan, n, refused int) int {
	now := a.clk.Now()
	before, after := a.issuer.Level(now, l, p, n, refused)
	if after == token.HighestLevel && before < after && a.mayLogLevel(now, l.Organisation()) {
		a.log.Emit(event.HighestLevel, event.F("organisation", l.Organisation()), event.F("limit", l.Rate()))
	}
	return after
}

// askOthers asks the issuers of the other failure domains for the demand of the organisations
// that may reach level 1.
func (a *Agent) askOthers(ctx context.Context) {
	snap := a.config.Current()
	a.issuer.UpdateTypical(a.clk.Now())
	for _, u := range a.issuer.Usages(a.clk.Now(), maxAsked) {
		l, ok := snap.Limit(u.Organisation())
		if !ok || l.Rate() <= 0 || !u.AskOthers() {
			continue
		}
		p, part, silent := token.NewPlan(l, a.margin(), len(a.domains)), 0.0, 0
		for _, domain := range a.issuingDomains(l, p) {
			if domain == a.domain {
				continue
			}
			resp, ok := a.takeFrom(ctx, domain, &issuerpb.TakeRequest{Organisation: l.Organisation(), Lend: true})
			if !ok {
				silent++
				continue
			}
			part += float64(resp.GetUsage()) / usageUnits
		}
		a.issuer.SetOthers(a.clk.Now(), l, part, silent)
	}
}

// mayLogLevel reports whether the last line about an organisation is old enough.
func (a *Agent) mayLogLevel(now time.Time, organisation string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last, ok := a.levelLog[organisation]; ok && now.Sub(last) < levelLogPause {
		return false
	}
	a.levelLog[organisation] = now
	return true
}

// WriteMetrics writes the limit, the demand at this issuer, the level and the refused tokens of the organisations whose
// tokens this node issues, at most maxReported of them, in the Prometheus text format.
func (a *Agent) WriteMetrics(w io.Writer) {
	snap := a.config.Current()
	for _, u := range a.issuer.Usages(a.clk.Now(), maxReported) {
		l, ok := snap.Limit(u.Organisation())
		if !ok {
			continue
		}
		for _, m := range [...]struct {
			name  string
			value float64
		}{
			{"limit_per_second", l.Rate()},
			{"demand_per_second", u.PerSecond()},
			{"level", float64(u.Level())},
			{"tokens_refused_total", float64(u.Refused())},
		} {
			_, _ = fmt.Fprintf(w, "banyanlug_organisation_%s{organisation=%q} %g\n", m.name, u.Organisation(), m.value)
		}
	}
}
