package balance

import "time"

// maxNamedRateAge is how long a limit that a target has named is passed on with calls. A
// target's node keeps to the limit; if that node has been restarted, it knows none until a
// response, and learns it from the calls of those who do.
const maxNamedRateAge = 10 * time.Second

// ObserveRate records the limit of its rate that a response of a target names; ok is false
// if it names none.
func (b *Balancer) ObserveRate(now time.Time, p Picked, perSecond float64, ok bool) {
	id := p.Record().TargetID()
	if !ok {
		b.rates.remove(id)
		return
	}
	b.rates.put(b.nanos(now), id, perSecond)
}

// NamedRate returns the limit in calls per second that a target has named lately, and
// false if it has named none.
func (b *Balancer) NamedRate(now time.Time, p Picked) (perSecond float64, ok bool) {
	perSecond, _, ok = b.rates.get(b.nanos(now), p.Record().TargetID())
	return perSecond, ok
}
