package balance

import "time"

// Report says how an attempt at a target ended.
type Report struct {
	kind       reportKind
	scope      Scope
	retryAfter time.Duration
	load       float64
	loaded     bool
	service    time.Duration
	kept       bool
}

type reportKind uint8

const (
	answered reportKind = iota + 1
	failed
	unreachable
	shed
	leaving
	cancelled
	declined
)

// Scope says whom a target's refusal is meant for.
type Scope uint8

// The scopes.
const (
	// ForAll is a refusal by the target itself.
	ForAll Scope = iota
	// ForClass is a refusal to the caller's class.
	ForClass
	// ForOrganisation is a refusal to one organisation, which has had its part.
	ForOrganisation
)

// ReportOption adds what an answer told besides. It is a value and no function,
// since a function would cost each call an allocation.
type ReportOption struct {
	load    float64
	loaded  bool
	service time.Duration
	kept    bool
}

// Load tells the calls that ran and waited at the target's node, over its
// slots, as its answer said.
func Load(l float64) ReportOption { return ReportOption{load: l, loaded: true} }

// Service tells how long calls of this one's route usually run at the target, as its
// node has seen it.
func Service(d time.Duration) ReportOption { return ReportOption{service: d} }

// Kept tells that the connection stays open for another call.
func Kept() ReportOption { return ReportOption{kept: true} }

// Answered reports a whole answer.
func Answered(opts ...ReportOption) Report { return report(Report{kind: answered}, opts) }

// Failed reports a call that broke off or timed out after it was sent, or
// whose answer says that the target itself failed.
func Failed(opts ...ReportOption) Report { return report(Report{kind: failed}, opts) }

// Unreachable reports that no connection could be made.
func Unreachable() Report { return Report{kind: unreachable} }

// Shed reports a refusal that says when to come back.
func Shed(s Scope, retryAfter time.Duration, opts ...ReportOption) Report {
	return report(Report{kind: shed, scope: s, retryAfter: retryAfter}, opts)
}

// Declined reports that the target's node had no room for this call. It says
// nothing about the next one, which may be shorter, more urgent or due later, so
// the target is not left alone: only the load that was told counts.
func Declined(opts ...ReportOption) Report { return report(Report{kind: declined}, opts) }

// Leaving reports a refusal because the target drains.
func Leaving() Report { return Report{kind: leaving} }

// Cancelled reports a caller that went away.
func Cancelled(opts ...ReportOption) Report { return report(Report{kind: cancelled}, opts) }

func report(r Report, opts []ReportOption) Report {
	for _, opt := range opts {
		if opt.loaded {
			r.load, r.loaded = opt.load, true
		}
		r.service = max(r.service, opt.service)
		r.kept = r.kept || opt.kept
	}
	return r
}
