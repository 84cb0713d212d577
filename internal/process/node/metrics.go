package node

import (
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// tellMetrics writes the node's metrics in the Prometheus text format.
func (n *Node) tellMetrics(w http.ResponseWriter, _ *http.Request) {
	n.metrics.WritePrometheus(w)
	n.writeMemberMetrics(w)
	n.writeBurnMetrics(w)
	metrics.WriteProcessMetrics(w)
}

// registerMetrics adds what is read from the parts when somebody asks.
func (n *Node) registerMetrics() {
	gauge := func(name string, f func() float64) { n.metrics.NewGauge(name, f) }
	gauge("banyanlug_config_version", func() float64 { return float64(n.peer.Holder().Current().Version()) })
	gauge("banyanlug_control_received_bytes_total", func() float64 { return float64(n.peer.Bytes().In()) })
	gauge("banyanlug_control_sent_bytes_total", func() float64 { return float64(n.peer.Bytes().Out()) })
	gauge("banyanlug_claim_rows", func() float64 { return float64(n.ledger.Serves()) })
	gauge("banyanlug_claim_bytes", func() float64 { return float64(n.ledger.Bytes()) })
	gauge("banyanlug_ready", func() float64 {
		if n.life.ready() {
			return 1
		}
		return 0
	})
}

// writeMemberMetrics writes what this node knows of each failure domain: two
// nodes of one domain that differ for long, or an age that grows, show a cut.
func (n *Node) writeMemberMetrics(w io.Writer) {
	for _, st := range n.view.Status(n.clock.Now()) {
		for _, c := range []struct {
			state string
			count int
		}{
			{"starting", st.Starting}, {"ready", st.Ready}, {"draining", st.Draining}, {"gone", st.Gone}, {"suspect", st.Suspect},
		} {
			metrics.WriteGaugeUint64(w, fmt.Sprintf(`banyanlug_members{failure_domain=%q,state=%q}`, st.Domain, c.state), uint64(c.count))
		}
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`banyanlug_domain_age_seconds{failure_domain=%q}`, st.Domain), st.Age.Seconds())
	}
	if age, ok := n.peer.StoreAge(); ok {
		metrics.WriteGaugeFloat64(w, "banyanlug_store_silent_seconds", age.Seconds())
	}
}
