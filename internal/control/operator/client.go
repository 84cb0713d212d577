package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"banyanlug.example/banyanlug/internal/config/declaration"
	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// confirmTries is how often each node is asked to confirm before the outcome
// is called unknown: the second time finds out what the first one did.
const confirmTries = 2

// Client asks nodes for what operators want.
type Client struct {
	nodes []string
	token string
	http  *http.Client
}

// ClientOption sets one property of a client.
type ClientOption func(*Client)

// HTTPClient sets what carries the requests.
func HTTPClient(h *http.Client) ClientOption { return func(c *Client) { c.http = h } }

// NewClient returns a client of the nodes at some base URLs, which are asked
// in turn until one answers.
func NewClient(nodes []string, token string, opts ...ClientOption) *Client {
	c := &Client{token: token, http: http.DefaultClient}
	for _, n := range nodes {
		c.nodes = append(c.nodes, strings.TrimSuffix(n, "/"))
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// RemoteError is a failure that a node answered with.
type RemoteError struct {
	Type      Type
	Message   string
	Conflicts []Conflict
	Faults    []string
}

func (e *RemoteError) Error() string { return e.Message }

// AnswerError tells of an answer that is none of this API's.
type AnswerError struct {
	Node   string
	Status int
	Err    error
}

func (e *AnswerError) Error() string {
	text := e.Node + " gave no answer of the operators' API (status " + strconv.Itoa(e.Status) + ")"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns what is wrong with the answer.
func (e *AnswerError) Unwrap() error { return e.Err }

// NoNodeError tells of nodes none of which answered.
type NoNodeError struct{ Err error }

func (e *NoNodeError) Error() string { return "no node answered: " + e.Err.Error() }

// Unwrap returns the last node's failure.
func (e *NoNodeError) Unwrap() error { return e.Err }

// Plan asks for a plan.
func (c *Client) Plan(ctx context.Context, intent Intent) (*Plan, error) {
	body, err := writeIntent(intent)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := c.ask(ctx, "POST", "/v1/plans", body, p); err != nil {
		return nil, err
	}
	return p, nil
}

func writeIntent(intent Intent) ([]byte, error) {
	var t intentText
	var err error
	switch i := intent.(type) {
	case Whole:
		t.Declarations, err = declaration.Encode(i.objects)
	case Edit:
		t.Edit = &editText{}
		if len(i.set) > 0 {
			t.Edit.Set, err = declaration.Encode(i.set)
		}
		for _, k := range i.remove {
			t.Edit.Remove = append(t.Edit.Remove, k.String())
		}
	default:
		return nil, &IntentError{Reason: "is neither a whole set nor an edit"}
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(t)
}

// PlanStatus asks for a plan and what became of it.
func (c *Client) PlanStatus(ctx context.Context, planID string) (PlanStatus, error) {
	var st PlanStatus
	err := c.ask(ctx, "GET", "/v1/plans/"+url.PathEscape(planID), nil, &st)
	return st, err
}

// Status asks for the fleet's status.
func (c *Client) Status(ctx context.Context) (FleetStatus, error) {
	var st FleetStatus
	err := c.ask(ctx, "GET", "/v1/status", nil, &st)
	return st, err
}

// History asks for up to n of the newest versions.
func (c *Client) History(ctx context.Context, n int) ([]Record, error) {
	var h History
	err := c.ask(ctx, "GET", "/v1/history?n="+strconv.Itoa(n), nil, &h)
	return h.Versions, err
}

// Confirm puts a plan in force. A lost answer is asked for again, since the
// plan's id makes that harmless; if that settles nothing, it is an
// OutcomeUnknownError unless no request can have left.
func (c *Client) Confirm(ctx context.Context, planID string) (Confirmation, error) {
	var done Confirmation
	maybe, err := c.settle(ctx, "/v1/plans/"+url.PathEscape(planID)+"/confirm", &done)
	if maybe {
		err = &OutcomeUnknownError{PlanID: planID, Err: err}
	}
	return done, err
}

// Abandon gives a plan up, with lost answers asked for again as in Confirm.
func (c *Client) Abandon(ctx context.Context, planID string) (Abandonment, error) {
	var done Abandonment
	maybe, err := c.settle(ctx, "/v1/plans/"+url.PathEscape(planID)+"/abandon", &done)
	if maybe {
		err = &StepUnknownError{Step: "abandon of plan " + planID, Err: err}
	}
	return done, err
}

// Restore puts the version that a node holds back into the store, with lost
// answers asked for again as in Confirm.
func (c *Client) Restore(ctx context.Context) (Restoration, error) {
	var done Restoration
	maybe, err := c.settle(ctx, "/v1/restore", &done)
	if maybe {
		err = &StepUnknownError{Step: "restore", Err: err}
	}
	return done, err
}

// settle asks for a step that may be done again until an answer says what
// became of it; maybe tells a failure after which it may have taken effect.
func (c *Client) settle(ctx context.Context, path string, answer any) (maybe bool, err error) {
	var last error = &RequestError{Reason: "no node is given"}
	for range confirmTries {
		for _, node := range c.nodes {
			err := c.askNode(ctx, node, "POST", path, nil, answer)
			if err == nil {
				return false, nil
			}
			if settles(err, maybe) {
				return false, err
			}
			maybe, last = maybe || !harmless(err), err
		}
	}
	if maybe {
		return true, last
	}
	return false, noNode(last)
}

// settles tells the answers that say what became of a plan. After a request
// whose answer was lost only those do which a node gives once no publish of
// the plan can succeed any more.
func settles(err error, maybe bool) bool {
	var remote *RemoteError
	if !errors.As(err, &remote) {
		return false
	}
	switch remote.Type {
	case TypeConflict, TypeExpired, TypeAbandoned, TypeInForce:
		return true
	case TypeUnknown, TypeUnavailable, TypeBusy, TypeInternal, TypeLagging:
		return false
	default:
		return !maybe
	}
}

// harmless tells failures after which the plan certainly is not in force by
// this request: nothing was sent, or the node says that it did nothing.
func harmless(err error) bool {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Type != TypeUnknown && remote.Type != TypeInternal
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Report reads a report over the fleet, such as "burn".
func (c *Client) Report(ctx context.Context, name string, report any) error {
	return c.ask(ctx, http.MethodGet, "/v1/report/"+name, nil, report)
}

// ask asks node after node until one answers for good.
func (c *Client) ask(ctx context.Context, method, path string, body []byte, answer any) error {
	var last error = &RequestError{Reason: "no node is given"}
	for _, node := range c.nodes {
		err := c.askNode(ctx, node, method, path, body, answer)
		var remote *RemoteError
		if err == nil || errors.As(err, &remote) && remote.Type != TypeUnavailable {
			return err
		}
		last = err
	}
	return noNode(last)
}

// noNode leaves what a node answered as it is.
func noNode(err error) error {
	if is[*RemoteError](err) || is[*RequestError](err) {
		return err
	}
	return &NoNodeError{Err: err}
}

func (c *Client) askNode(ctx context.Context, node, method, path string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, node+path, bytes.NewReader(body))
	if err != nil {
		return &RequestError{Reason: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 2*maxBodyBytes))
	if err != nil {
		return &AnswerError{Node: node, Status: resp.StatusCode, Err: err}
	}
	if resp.StatusCode/100 == 2 {
		if err := json.Unmarshal(b, answer); err != nil {
			return &AnswerError{Node: node, Status: resp.StatusCode, Err: err}
		}
		return nil
	}
	return remoteError(node, resp.StatusCode, b)
}

func remoteError(node string, status int, b []byte) error {
	var t errorText
	if err := json.Unmarshal(b, &t); err != nil || statuses[t.Error.Type] != status {
		return &AnswerError{Node: node, Status: status}
	}
	e := &RemoteError{Type: t.Error.Type, Message: t.Error.Message, Faults: t.Error.Faults}
	for _, c := range t.Error.Conflicts {
		k, err := snapshot.ParseKey(c.Object)
		if err != nil {
			return &AnswerError{Node: node, Status: status, Err: err}
		}
		e.Conflicts = append(e.Conflicts, Conflict{k, c.Version, c.Operator, c.Plan})
	}
	return e
}
