package caller

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// Ending is how a call ended. Its values are metric labels.
type Ending string

// The endings of a call.
const (
	EndOK          Ending = "ok"
	EndTargetError Ending = "target_error"
	EndNotRun      Ending = "not_run"
	EndUnknown     Ending = "unknown"
)

var endings = [...]Ending{EndOK, EndTargetError, EndNotRun, EndUnknown}

// Observation is one call that has ended.
type Observation struct {
	service string
	class   snapshot.Class
	ending  Ending
	cause   string
	took    time.Duration
}

// Service returns the name of the service, or "" if no route was found.
func (o Observation) Service() string { return o.service }

// Class returns the class of the organisation.
func (o Observation) Class() snapshot.Class { return o.class }

// Ending returns how the call ended.
func (o Observation) Ending() Ending { return o.ending }

// Cause returns the type of the refusal, or "" for a response of the target.
func (o Observation) Cause() string { return o.cause }

// Duration returns how long the call took.
func (o Observation) Duration() time.Duration { return o.took }

// handlerMetrics records the metrics of calls. The metrics of all services are looked up
// once per configuration version, since formatting their names for each call is slow.
type handlerMetrics struct {
	set     *metrics.Set
	observe func(Observation)
	handles atomic.Pointer[metricHandles]
}

type metricHandles struct {
	snap     *snapshot.Snapshot
	services map[string]*serviceMetrics
}

type serviceMetrics [2]classMetrics

type classMetrics struct {
	calls   [len(endings)]*metrics.Counter
	seconds *metrics.Histogram
	hops    *metrics.Histogram
}

func newHandlerMetrics() *handlerMetrics {
	return &handlerMetrics{set: metrics.NewSet(), observe: func(Observation) {}}
}

// recordCall records a call that has ended; refusal is nil if a target responded.
func (m *handlerMetrics) recordCall(c *call, status int, refusal *http1.Refusal) {
	o := Observation{service: c.rt.Service(), class: c.org.Class(), took: c.h.clk.Since(c.start)}
	o.ending = endingOf(status, refusal)
	if refusal != nil {
		o.cause = refusal.Type
		m.set.GetOrCreateCounter(fmt.Sprintf(
			`banyanlug_call_failures_total{service=%q,class=%q,type=%q}`, o.service, o.class, o.cause)).Inc()
	}
	if s := m.forService(c.snap, o.service); s != nil {
		s[o.class].count(o)
	}
	m.observe(o)
}

// recordAttemptDuration records the time of one attempt, from sending the request to the
// head of the response or the failure.
func (m *handlerMetrics) recordAttemptDuration(c *call, took time.Duration) {
	if s := m.forService(c.snap, c.rt.Service()); s != nil {
		s[c.org.Class()].hops.Update(took.Seconds())
	}
}

// countFailedAttempt counts a failed attempt by its outcome and by what followed it.
func (m *handlerMetrics) countFailedAttempt(o retry.Outcome, next string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`banyanlug_attempts_failed_total{how=%q,next=%q}`, o, next)).Inc()
}

func endingOf(status int, refusal *http1.Refusal) Ending {
	switch {
	case refusal == nil && status < http.StatusInternalServerError:
		return EndOK
	case refusal == nil:
		return EndTargetError
	case refusal.Outcome == http1.NotRun:
		return EndNotRun
	default:
		return EndUnknown
	}
}

func (s *classMetrics) count(o Observation) {
	s.seconds.Update(o.took.Seconds())
	for i, e := range endings {
		if e == o.ending {
			s.calls[i].Inc()
		}
	}
}

// forService returns the metrics of a service, or nil if snap does not have it.
func (m *handlerMetrics) forService(snap *snapshot.Snapshot, service string) *serviceMetrics {
	h := m.handles.Load()
	if h == nil || h.snap != snap {
		h = m.resolve(snap)
		m.handles.Store(h)
	}
	return h.services[service]
}

func (m *handlerMetrics) resolve(snap *snapshot.Snapshot) *metricHandles {
	h := &metricHandles{snap: snap, services: map[string]*serviceMetrics{}}
	for _, o := range snap.Objects() {
		svc, ok := o.(snapshot.Service)
		if !ok {
			continue
		}
		s := &serviceMetrics{}
		for _, class := range []snapshot.Class{snapshot.Trial, snapshot.Paying} {
			for i, e := range endings {
				s[class].calls[i] = m.set.GetOrCreateCounter(fmt.Sprintf(
					`banyanlug_calls_total{service=%q,class=%q,outcome=%q}`, svc.Name(), class, e))
			}
			s[class].seconds = m.set.GetOrCreateHistogram(fmt.Sprintf(
				`banyanlug_call_seconds{service=%q,class=%q}`, svc.Name(), class))
			s[class].hops = m.set.GetOrCreateHistogram(fmt.Sprintf(
				`banyanlug_hop_seconds{service=%q,class=%q}`, svc.Name(), class))
		}
		h.services[svc.Name()] = s
	}
	return h
}
