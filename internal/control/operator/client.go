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

// maxRounds is how often the list of nodes is tried before the outcome is
// reported as unknown. The second round can find the outcome of a request whose
// response was lost in the first.
const maxRounds = 2

// Client is a client of the operators' API.
type Client struct {
	nodes []string
	token string
	http  *http.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// HTTPClient sets the HTTP client that sends the requests.
func HTTPClient(h *http.Client) ClientOption { return func(c *Client) { c.http = h } }

// NewClient returns a client of the nodes at the given base URLs, which are
// tried in order until one responds.
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

// RemoteError is an error that a node returned in a response.
type RemoteError struct {
	Type      Type
	Message   string
	Conflicts []Conflict
	Faults    []string
}

func (e *RemoteError) Error() string { return e.Message }

// AnswerError reports a response that does not have the form of this API.
type AnswerError struct {
	Node   string
	Status int
	Err    error
}

func (e *AnswerError) Error() string {
	text := e.Node + " returned a response that is not of the operators' API (status " + strconv.Itoa(e.Status) + ")"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the error of reading the response, or nil.
func (e *AnswerError) Unwrap() error { return e.Err }

// NoNodeError reports that no node responded.
type NoNodeError struct{ Err error }

func (e *NoNodeError) Error() string { return "no node answered: " + e.Err.Error() }

// Unwrap returns the last node's error.
func (e *NoNodeError) Unwrap() error { return e.Err }

// Plan requests a plan for an intent.
func (c *Client) Plan(ctx context.Context, intent Intent) (*Plan, error) {
	body, err := encodeIntent(intent)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := c.query(ctx, "POST", "/v1/plans", body, p); err != nil {
		return nil, err
	}
	return p, nil
}

func encodeIntent(intent Intent) ([]byte, error) {
	var t intentText
	var err error
	switch i := intent.(type) {
	case FullSet:
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

// PlanStatus returns a plan and its state.
func (c *Client) PlanStatus(ctx context.Context, planID string) (PlanStatus, error) {
	var st PlanStatus
	err := c.query(ctx, "GET", "/v1/plans/"+url.PathEscape(planID), nil, &st)
	return st, err
}

// Status returns the fleet's status.
func (c *Client) Status(ctx context.Context) (FleetStatus, error) {
	var st FleetStatus
	err := c.query(ctx, "GET", "/v1/status", nil, &st)
	return st, err
}

// History returns up to n of the newest versions.
func (c *Client) History(ctx context.Context, n int) ([]Record, error) {
	var h History
	err := c.query(ctx, "GET", "/v1/history?n="+strconv.Itoa(n), nil, &h)
	return h.Versions, err
}

// Confirm makes a plan active. If a response is lost, the request is sent again,
// which is idempotent by the plan's ID. If a request may have taken effect and
// its outcome is still not known, the error is an OutcomeUnknownError.
func (c *Client) Confirm(ctx context.Context, planID string) (Confirmation, error) {
	var result Confirmation
	mayHaveApplied, err := c.retryUntilKnown(ctx, "/v1/plans/"+url.PathEscape(planID)+"/confirm", &result)
	if mayHaveApplied {
		err = &OutcomeUnknownError{PlanID: planID, Err: err}
	}
	return result, err
}

// Abandon abandons a plan. It retries lost responses as Confirm does and returns
// a StepUnknownError if the outcome is not known.
func (c *Client) Abandon(ctx context.Context, planID string) (Abandonment, error) {
	var result Abandonment
	mayHaveApplied, err := c.retryUntilKnown(ctx, "/v1/plans/"+url.PathEscape(planID)+"/abandon", &result)
	if mayHaveApplied {
		err = &StepUnknownError{Step: "abandon of plan " + planID, Err: err}
	}
	return result, err
}

// Restore writes the version that is active on a node back to the store. It
// retries lost responses as Confirm does and returns a StepUnknownError if the
// outcome is not known.
func (c *Client) Restore(ctx context.Context) (Restoration, error) {
	var result Restoration
	mayHaveApplied, err := c.retryUntilKnown(ctx, "/v1/restore", &result)
	if mayHaveApplied {
		err = &StepUnknownError{Step: "restore", Err: err}
	}
	return result, err
}

// retryUntilKnown sends an idempotent request until a response gives its outcome.
// If err is not nil, mayHaveApplied reports whether a request may have taken
// effect.
func (c *Client) retryUntilKnown(ctx context.Context, path string, result any) (mayHaveApplied bool, err error) {
	var lastErr error = &RequestError{Reason: "no node is given"}
	for range maxRounds {
		for _, node := range c.nodes {
			err := c.queryNode(ctx, node, "POST", path, nil, result)
			if err == nil {
				return false, nil
			}
			if isConclusive(err, mayHaveApplied) {
				return false, err
			}
			mayHaveApplied, lastErr = mayHaveApplied || !hadNoEffect(err), err
		}
	}
	if mayHaveApplied {
		return true, lastErr
	}
	return false, wrapUnreachable(lastErr)
}

// isConclusive reports whether an error gives a request's final outcome. If an
// earlier request may have taken effect, only errors that rule out a later
// publish of the plan are conclusive.
func isConclusive(err error, mayHaveApplied bool) bool {
	var remote *RemoteError
	if !errors.As(err, &remote) {
		return false
	}
	switch remote.Type {
	case TypeConflict, TypeExpired, TypeAbandoned, TypeAlreadyActive:
		return true
	case TypeUnknown, TypeUnavailable, TypeBusy, TypeInternal, TypeLagging:
		return false
	default:
		return !mayHaveApplied
	}
}

// hadNoEffect reports whether a failed request certainly had no effect: nothing
// was sent, or the node returned an error that rules it out.
func hadNoEffect(err error) bool {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Type != TypeUnknown && remote.Type != TypeInternal
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Report reads a report about the fleet, such as "burn", into report.
func (c *Client) Report(ctx context.Context, name string, report any) error {
	return c.query(ctx, http.MethodGet, "/v1/report/"+name, nil, report)
}

// query sends a request to one node after another until one gives a response
// other than "unavailable".
func (c *Client) query(ctx context.Context, method, path string, body []byte, result any) error {
	var lastErr error = &RequestError{Reason: "no node is given"}
	for _, node := range c.nodes {
		err := c.queryNode(ctx, node, method, path, body, result)
		var remote *RemoteError
		if err == nil || errors.As(err, &remote) && remote.Type != TypeUnavailable {
			return err
		}
		lastErr = err
	}
	return wrapUnreachable(lastErr)
}

// wrapUnreachable returns errors that a node returned, and those of a malformed
// request, unchanged. All others become a NoNodeError.
func wrapUnreachable(err error) error {
	if isError[*RemoteError](err) || isError[*RequestError](err) {
		return err
	}
	return &NoNodeError{Err: err}
}

func (c *Client) queryNode(ctx context.Context, node, method, path string, body []byte, result any) error {
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
		if err := json.Unmarshal(b, result); err != nil {
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
