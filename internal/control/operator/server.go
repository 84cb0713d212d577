package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/alexedwards/flow"

	"banyanlug.example/banyanlug/internal/config/declaration"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/log/event"
)

const (
	// maxBodyBytes limits a request body, the largest of which is a full set of
	// declarations.
	maxBodyBytes          = 16 << 20
	defaultHistoryRecords = 20
	// maxHistoryRecords bounds the store reads of one request.
	maxHistoryRecords = 200
)

// server implements the operators' API over HTTP.
type server struct {
	service *Service
	tokens  tokens
}

// NewHandler returns a handler of the operators' API over a service. It accepts
// only requests with one of the tokens.
func NewHandler(service *Service, tokens ...Token) http.Handler {
	s := &server{service: service, tokens: tokens}
	mux := flow.New()
	mux.NotFound = s.errorHandler(&PathError{})
	mux.MethodNotAllowed = s.errorHandler(&MethodError{})
	mux.Handle("/v1/plans", s.handle(s.plan), "POST")
	mux.Handle("/v1/plans/:id", s.handle(s.planStatus), "GET")
	mux.Handle("/v1/plans/:id/confirm", s.handle(s.confirm), "POST")
	mux.Handle("/v1/plans/:id/abandon", s.handle(s.abandon), "POST")
	mux.Handle("/v1/restore", s.handle(s.restore), "POST")
	mux.Handle("/v1/status", s.handle(s.status), "GET")
	mux.Handle("/v1/history", s.handle(s.history), "GET")
	return mux
}

// Authenticated returns a handler that passes to next only requests with one of
// the allowed tokens.
func Authenticated(next http.Handler, service *Service, allowed ...Token) http.Handler {
	s := &server{service: service, tokens: allowed}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := s.authenticate(r); err != nil {
			writeError(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// authenticate returns the operator who sent a request, and logs a request
// without a valid token.
func (s *server) authenticate(r *http.Request) (string, error) {
	name, err := s.tokens.operator(r)
	if err != nil {
		s.service.log.Emit(event.OperatorRefused, event.F("from", r.RemoteAddr), event.F("path", r.URL.Path))
	}
	return name, err
}

// request is an authenticated request with its body read.
type request struct {
	ctx      context.Context
	operator string
	http     *http.Request
	body     []byte
}

// handle authenticates a request, reads its body and writes the response.
func (s *server) handle(do func(request) (status int, response any, err error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, response, err := s.serve(w, r, do)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, status, response)
	})
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, do func(request) (int, any, error)) (int, any, error) {
	name, err := s.authenticate(r)
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return 0, nil, &TooLargeError{What: "the request", Limit: maxBodyBytes}
	}
	if err != nil {
		return 0, nil, &RequestError{Reason: "the body ended early"}
	}
	return do(request{ctx: r.Context(), operator: name, http: r, body: body})
}

// intentText is the JSON form of an intent; exactly one field is set.
type intentText struct {
	Declarations json.RawMessage `json:"declarations,omitempty"`
	Edit         *editText       `json:"edit,omitempty"`
}

type editText struct {
	Set    json.RawMessage `json:"set,omitempty"`
	Remove []string        `json:"remove,omitempty"`
}

func (s *server) plan(r request) (int, any, error) {
	intent, err := decodeIntent(r.body)
	if err != nil {
		return 0, nil, err
	}
	p, err := s.service.Plan(r.ctx, r.operator, intent)
	if err != nil {
		return 0, nil, err
	}
	if p.id == "" {
		return http.StatusOK, p, nil
	}
	return http.StatusCreated, p, nil
}

func decodeIntent(body []byte) (Intent, error) {
	var t intentText
	if err := decodeStrict(body, &t); err != nil {
		return nil, &RequestError{Reason: err.Error()}
	}
	switch {
	case (t.Declarations != nil) == (t.Edit != nil):
		return nil, &RequestError{Reason: `needs either "declarations" or "edit"`}
	case t.Declarations != nil:
		set, err := declaration.Decode("declarations", t.Declarations)
		if err != nil {
			return nil, err
		}
		// An empty set would remove all objects; a client that failed to read
		// its files may send one.
		if len(set.Objects()) == 0 {
			return nil, &IntentError{Reason: "declares nothing"}
		}
		return NewFullSet(set.Objects()), nil
	default:
		return t.Edit.intent()
	}
}

func (t editText) intent() (Intent, error) {
	var set []snapshot.Object
	if t.Set != nil {
		decoded, err := declaration.Decode("set", t.Set)
		if err != nil {
			return nil, err
		}
		set = decoded.Objects()
	}
	var remove []snapshot.Key
	for _, text := range t.Remove {
		k, err := snapshot.ParseKey(text)
		if err != nil {
			return nil, err
		}
		remove = append(remove, k)
	}
	return NewEdit(set, remove), nil
}

func (s *server) planStatus(r request) (int, any, error) {
	st, err := s.service.Status(r.ctx, r.http.PathValue("id"))
	return http.StatusOK, st, err
}

// Confirmation is the response to a confirm. Version is 0 if it could not be
// looked up.
type Confirmation struct {
	Plan    string `json:"plan"`
	State   State  `json:"state"`
	Version uint64 `json:"version,omitempty"`
}

// requireNoFields returns a RequestError for a body with fields, which the path
// would ignore.
func (r request) requireNoFields() error {
	if len(r.body) == 0 || decodeStrict(r.body, &struct{}{}) == nil {
		return nil
	}
	return &RequestError{Reason: "this request has no fields"}
}

func (s *server) confirm(r request) (int, any, error) {
	if err := r.requireNoFields(); err != nil {
		return 0, nil, err
	}
	id := r.http.PathValue("id")
	version, err := s.service.Confirm(r.ctx, r.operator, id)
	return http.StatusOK, Confirmation{Plan: id, State: Confirmed, Version: version}, err
}

func (s *server) abandon(r request) (int, any, error) {
	if err := r.requireNoFields(); err != nil {
		return 0, nil, err
	}
	id := r.http.PathValue("id")
	err := s.service.Abandon(r.ctx, r.operator, id)
	return http.StatusOK, Abandonment{Plan: id, State: Abandoned}, err
}

func (s *server) restore(r request) (int, any, error) {
	if err := r.requireNoFields(); err != nil {
		return 0, nil, err
	}
	result, err := s.service.Restore(r.ctx, r.operator)
	return http.StatusOK, result, err
}

// FleetStatus is the newest version and the status of each live node.
type FleetStatus struct {
	Version uint64       `json:"version"`
	Digest  string       `json:"digest"`
	Plan    string       `json:"plan"`
	Nodes   []NodeStatus `json:"nodes"`
}

// NodeStatus is the status of one node.
type NodeStatus struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Version uint64 `json:"version"`
	State   string `json:"state"`
	AgeMS   int64  `json:"age_ms"`
	Format  uint32 `json:"format"`
}

// Age returns the time since the node's last report.
func (n NodeStatus) Age() time.Duration { return time.Duration(n.AgeMS) * time.Millisecond }

func (s *server) status(r request) (int, any, error) {
	head, err := s.service.Newest(r.ctx)
	if err != nil {
		return 0, nil, err
	}
	nodes, err := s.service.Nodes(r.ctx)
	if err != nil {
		return 0, nil, err
	}
	st := FleetStatus{Version: head.Version(), Digest: head.Digest().String(), Plan: head.PlanID(), Nodes: []NodeStatus{}}
	for _, n := range nodes {
		st.Nodes = append(st.Nodes, NodeStatus{n.Name, n.Domain, n.Version, n.State, n.Age.Milliseconds(), n.Format})
	}
	return http.StatusOK, st, nil
}

// History is the newest versions, from the newest to the oldest.
type History struct {
	Versions []Record `json:"versions"`
}

func (s *server) history(r request) (int, any, error) {
	n := defaultHistoryRecords
	if text := r.http.URL.Query().Get("n"); text != "" {
		var err error
		if n, err = strconv.Atoi(text); err != nil || n < 1 || n > maxHistoryRecords {
			return 0, nil, &RequestError{Reason: "n must be between 1 and " + strconv.Itoa(maxHistoryRecords)}
		}
	}
	records, err := s.service.History(r.ctx, n)
	if records == nil {
		records = []Record{}
	}
	return http.StatusOK, History{records}, err
}

func (s *server) errorHandler(err error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeError(w, err) })
}

func writeJSON(w http.ResponseWriter, status int, response any) {
	b, err := json.Marshal(response)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)+1))
	w.WriteHeader(status)
	// A client that disconnected can repeat the request.
	_, _ = w.Write(append(b, '\n'))
}
