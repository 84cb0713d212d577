package balance

import (
	"sync"
	"time"
)

// maxNamedRateAge is how long a limit that a target has named is passed on with calls.
const maxNamedRateAge = 10 * time.Second

// namedRates holds the limits of their rate that target processes have named, by the id of
// the process. A target's node keeps to the limit; if that node has been restarted, it
// knows none until a response, and learns it from the calls of those who do.
type namedRates struct{ byID sync.Map }

type namedRate struct {
	perSecond float64
	at        int64
}

// ObserveRate records the limit of its rate that a response of a target names; ok is false
// if it names none.
func (b *Balancer) ObserveRate(now time.Time, p Picked, perSecond float64, ok bool) {
	id, at := p.Record().TargetID(), b.nanos(now)
	switch _, known := b.rates.byID.Load(id); {
	case !ok && known:
		b.rates.byID.Delete(id)
	case ok && known:
		b.rates.byID.Store(id, namedRate{perSecond, at})
	case ok && id != "":
		b.rates.byID.Range(func(other, r any) bool {
			if at-r.(namedRate).at >= int64(maxNamedRateAge) {
				b.rates.byID.Delete(other)
			}
			return true
		})
		b.rates.byID.Store(id, namedRate{perSecond, at})
	}
}

// NamedRate returns the limit in calls per second that a target has named lately, and
// false if it has named none.
func (b *Balancer) NamedRate(now time.Time, p Picked) (perSecond float64, ok bool) {
	r, ok := b.rates.byID.Load(p.Record().TargetID())
	if !ok || b.nanos(now)-r.(namedRate).at >= int64(maxNamedRateAge) {
		return 0, false
	}
	return r.(namedRate).perSecond, true
}
