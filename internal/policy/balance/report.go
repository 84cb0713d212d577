package balance

import "time"

// Report is how an attempt at a target ended.
type Report struct {
	kind        reportKind
	scope       Scope
	retryAfter  time.Duration
	load        float64
	hasLoad     bool
	serviceTime time.Duration
	connKept    bool
}

type reportKind uint8

const (
	answered reportKind = iota + 1
	failed
	unreachable
	shed
	draining
	cancelled
	noCapacity
	overloaded
)

// Scope is whom a target's refusal applies to.
type Scope uint8

// The scopes.
const (
	// ForAll is a refusal that applies to all callers.
	ForAll Scope = iota
	// ForClass is a refusal that applies to the caller's class.
	ForClass
	// ForOrganisation is a refusal that applies to one organisation, which has used
	// up its share.
	ForOrganisation
)

// ReportOption adds a detail to a report. It is a struct because a closure would
// cost each call an allocation.
type ReportOption struct {
	load        float64
	hasLoad     bool
	serviceTime time.Duration
	connKept    bool
}

// Load adds the load that the target's node reported: calls that run or are queued,
// divided by its slots.
func Load(l float64) ReportOption { return ReportOption{load: l, hasLoad: true} }

// ServiceTime adds how long calls of this route usually run at the target, as reported
// by its node.
func ServiceTime(d time.Duration) ReportOption { return ReportOption{serviceTime: d} }

// ConnKept adds that the connection stays open for another call.
func ConnKept() ReportOption { return ReportOption{connKept: true} }

// Answered reports a complete response.
func Answered(opts ...ReportOption) Report { return report(Report{kind: answered}, opts) }

// Failed reports a call that was cut off or timed out after it was sent, or whose
// response reports an error of the target.
func Failed(opts ...ReportOption) Report { return report(Report{kind: failed}, opts) }

// Unreachable reports that no connection could be made.
func Unreachable() Report { return Report{kind: unreachable} }

// Shed reports a refusal with the time after which the caller may try again.
func Shed(s Scope, retryAfter time.Duration, opts ...ReportOption) Report {
	return report(Report{kind: shed, scope: s, retryAfter: retryAfter}, opts)
}

// NoCapacity reports that the target's node had no capacity for this call. The next
// call may be shorter, more urgent or have a later deadline, so the target may be
// picked again at once: only the reported load counts.
func NoCapacity(opts ...ReportOption) Report { return report(Report{kind: noCapacity}, opts) }

// Overloaded reports a refusal by a node that is short of processor time, with the time
// after which it may be tried again.
func Overloaded(retryAfter time.Duration, opts ...ReportOption) Report {
	return report(Report{kind: overloaded, retryAfter: retryAfter}, opts)
}

// Draining reports a refusal because the target is draining.
func Draining() Report { return Report{kind: draining} }

// Cancelled reports a call that ended early for a cause other than the target, such
// as a caller that disconnected.
func Cancelled(opts ...ReportOption) Report { return report(Report{kind: cancelled}, opts) }

func report(r Report, opts []ReportOption) Report {
	for _, opt := range opts {
		if opt.hasLoad {
			r.load, r.hasLoad = opt.load, true
		}
		r.serviceTime = max(r.serviceTime, opt.serviceTime)
		r.connKept = r.connKept || opt.connKept
	}
	return r
}
