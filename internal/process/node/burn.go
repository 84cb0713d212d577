package node

import (
	"context"
	"encoding/json"
	"fmt"
	"html"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/report/burn"
	"banyanlug.example/banyanlug/internal/report/burnpb"
	"banyanlug.example/banyanlug/internal/traffic/caller"
)

// burnCountsTimeout bounds the request to one node. A report states how many
// nodes answered, so an unresponsive node does not delay it further.
const burnCountsTimeout = 2 * time.Second

// callerFaults are the causes of refusals for which the caller is responsible.
// They do not count against the service's error budget.
var callerFaults = map[string]bool{
	"unauthenticated": true, "unknown-parent-call": true, "ambiguous-path": true, "no-route": true,
	"too-deep": true, "bad-header": true, "limit": true, "malformed": true, "slow-sender": true,
	"body-too-large": true, "head-too-large": true, "protocol-version": true, "tunnel": true,
	"expectation": true, "connection-closed": true, "cancelled": true,
}

// observe records a finished call for the burn report.
func (n *Node) observe(o caller.Observation) {
	cause := o.Cause()
	if o.Service() == "" || callerFaults[cause] {
		return
	}
	if o.Ending() == caller.EndTargetError {
		cause = string(caller.EndTargetError)
	}
	n.burn.Record(n.clock.Now(), burn.NewCall(o.Service(), o.Class(), cause, o.Duration()))
}

// latencyObjective returns the longest duration of a call that meets the
// service's objective, or false if the service declares none.
func (n *Node) latencyObjective(service string) (time.Duration, bool) {
	o, ok := n.peer.Holder().Current().Object(snapshot.Key{Kind: snapshot.KindObjective, Name: service})
	if !ok {
		return 0, false
	}
	objective, ok := o.(snapshot.Objective)
	return objective.Latency(), ok
}

// burnService serves this node's counts to nodes that compile a report.
type burnService struct{ n *Node }

// Counts implements burnpb.Burn.
func (s burnService) Counts(context.Context, *burnpb.CountsRequest) (*burnpb.CountsResponse, error) {
	m, err := s.n.burn.Counts()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return m, nil
}

// burnReport queries all live nodes and merges their counts.
func (n *Node) burnReport(ctx context.Context) burn.Report {
	live := n.liveMembers()
	answers := make([]*burnpb.CountsResponse, len(live))
	n.peer.QueryEach(ctx, live, burnCountsTimeout, func(ctx context.Context, i int, r membership.Record) {
		client := burnpb.NewBurnProtobufClient(n.peer.BaseURL(r.ControlAddress()), n.peer.Client())
		// A failed request leaves the entry nil: the report counts the node as
		// not having answered.
		answers[i], _ = client.Counts(ctx, &burnpb.CountsRequest{})
	})
	fleet := burn.NewFleetCounts(len(live))
	for _, a := range answers {
		if a != nil {
			// Counts that cannot be merged, as from a node of another program
			// version, are dropped: the node is counted as not having answered.
			_ = fleet.Add(a)
		}
	}
	return fleet.Report(n.clock.Now(), n.peer.Holder().Current())
}

// serveBurnReport serves the report as JSON, text, an SVG chart or an HTML page.
func (n *Node) serveBurnReport(w http.ResponseWriter, r *http.Request) {
	report := n.burnReport(r.Context())
	format := r.URL.Query().Get("format")
	var contentType string
	var body []byte
	var err error
	switch format {
	case "", "json":
		contentType = "application/json"
		body, err = json.Marshal(report)
	case "text":
		contentType, body = "text/plain; charset=utf-8", []byte(report.Text())
	case "svg":
		contentType = "image/svg+xml"
		body, err = report.SVG()
	case "html":
		contentType = "text/html; charset=utf-8"
		body, err = burnPage(report)
	default:
		http.Error(w, `{"error":{"type":"request","message":"format must be json, text, svg or html"}}`, http.StatusBadRequest)
		return
	}
	if err != nil {
		http.Error(w, `{"error":{"type":"internal","message":"the report could not be drawn"}}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(body)
}

func burnPage(r burn.Report) ([]byte, error) {
	svg, err := r.SVG()
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "<!doctype html><meta charset=utf-8><title>Service-level burn</title>"+
		"<body style=\"font-family:sans-serif;max-width:70em;margin:2em auto\"><pre>%s</pre>%s</body>\n",
		html.EscapeString(r.Text()), svg), nil
}

// writeBurnMetrics writes the burn rates and remaining budgets of the calls
// that this node forwarded.
func (n *Node) writeBurnMetrics(w io.Writer) {
	m, err := n.burn.Counts()
	if err != nil {
		return
	}
	fleet := burn.NewFleetCounts(1)
	if fleet.Add(m) != nil {
		return
	}
	for _, row := range fleet.Report(n.clock.Now(), n.peer.Holder().Current()).Rows {
		for _, b := range row.Burn {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf(
				`banyanlug_burn_rate{service=%q,class=%q,window=%q}`, row.Service, row.Class, b.Window), b.Rate)
		}
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(
			`banyanlug_burn_budget_left{service=%q,class=%q}`, row.Service, row.Class), row.BudgetLeft)
	}
}
