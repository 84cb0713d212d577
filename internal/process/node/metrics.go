package node

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// tellMetrics writes the node's metrics in the Prometheus text format.
func (n *Node) tellMetrics(w http.ResponseWriter, _ *http.Request) {
	n.metrics.WritePrometheus(w)
	n.writeBurnMetrics(w)
	metrics.WriteProcessMetrics(w)
}

// registerMetrics adds what is read from the parts when somebody asks.
func (n *Node) registerMetrics() {
	gauge := func(name string, f func() float64) { n.metrics.NewGauge(name, f) }
	gauge("banyanlug_config_version", func() float64 { return float64(n.peer.Holder().Current().Version()) })
	gauge("banyanlug_control_received_bytes_total", func() float64 { return float64(n.peer.Bytes().In()) })
	gauge("banyanlug_control_sent_bytes_total", func() float64 { return float64(n.peer.Bytes().Out()) })
	gauge("banyanlug_members", func() float64 { return float64(len(n.view.Records())) })
	gauge("banyanlug_limit_heartbeats_total", func() float64 { return float64(n.quota.Messages()) })
	gauge("banyanlug_limit_reports_total", func() float64 { return float64(n.quota.Reports()) })
	gauge("banyanlug_limit_bytes_total", func() float64 { return float64(n.quota.Bytes()) })
	gauge("banyanlug_ready", func() float64 {
		if n.life.ready() {
			return 1
		}
		return 0
	})
}
