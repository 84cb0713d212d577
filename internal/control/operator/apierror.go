package operator

import (
	"encoding/json"
	"errors"
	"net/http"

	"banyanlug.example/banyanlug/internal/config/declaration"
	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// RequestError reports a malformed request.
type RequestError struct{ Reason string }

func (e *RequestError) Error() string { return "malformed request: " + e.Reason }

// PathError reports a path that the API does not serve.
type PathError struct{}

func (e *PathError) Error() string { return "the operators' API has no such path" }

// MethodError reports an HTTP method that the path does not support.
type MethodError struct{}

func (e *MethodError) Error() string { return "this path does not take this method" }

// Type is the error type in a response body.
type Type string

// The error types.
const (
	TypeRequest       Type = "request"
	TypeUnauthorized  Type = "unauthorized"
	TypePath          Type = "path"
	TypeMethod        Type = "method"
	TypeTooLarge      Type = "too_large"
	TypeIntent        Type = "intent"
	TypeDeclaration   Type = "declaration"
	TypeCheck         Type = "check"
	TypeFormat        Type = "format"
	TypeConflict      Type = "conflict"
	TypeExpired       Type = "expired"
	TypeAbandoned     Type = "abandoned"
	TypeAlreadyActive Type = "in_force"
	TypeLagging       Type = "lagging"
	TypeNewer         Type = "store_newer"
	TypeNotFound      Type = "not_found"
	TypeBusy          Type = "busy"
	TypeUnavailable   Type = "unavailable"
	TypeUnknown       Type = "outcome_unknown"
	TypeInternal      Type = "internal"
)

// statuses maps each error type to its HTTP status.
var statuses = map[Type]int{
	TypeRequest:       http.StatusBadRequest,
	TypeUnauthorized:  http.StatusUnauthorized,
	TypePath:          http.StatusNotFound,
	TypeMethod:        http.StatusMethodNotAllowed,
	TypeTooLarge:      http.StatusRequestEntityTooLarge,
	TypeIntent:        http.StatusUnprocessableEntity,
	TypeDeclaration:   http.StatusUnprocessableEntity,
	TypeCheck:         http.StatusUnprocessableEntity,
	TypeFormat:        http.StatusConflict,
	TypeConflict:      http.StatusConflict,
	TypeExpired:       http.StatusGone,
	TypeAbandoned:     http.StatusGone,
	TypeAlreadyActive: http.StatusConflict,
	TypeLagging:       http.StatusConflict,
	TypeNewer:         http.StatusConflict,
	TypeNotFound:      http.StatusNotFound,
	TypeBusy:          http.StatusServiceUnavailable,
	TypeUnavailable:   http.StatusServiceUnavailable,
	TypeUnknown:       http.StatusGatewayTimeout,
	TypeInternal:      http.StatusInternalServerError,
}

// typeOf returns the error type of err. Errors that say that a plan may be
// active come first, because they may wrap any of the others.
func typeOf(err error) Type {
	switch {
	case isError[*OutcomeUnknownError](err), isError[*StepUnknownError](err):
		return TypeUnknown
	case isError[*ConflictError](err):
		return TypeConflict
	case isError[*UnauthorizedError](err):
		return TypeUnauthorized
	case isError[*TooLargeError](err):
		return TypeTooLarge
	case isError[*PathError](err):
		return TypePath
	case isError[*MethodError](err):
		return TypeMethod
	case isError[*RequestError](err):
		return TypeRequest
	case isError[*IntentError](err), isError[*snapshot.KeyError](err):
		return TypeIntent
	case isError[*declaration.LoadError](err):
		return TypeDeclaration
	case isError[*snapshot.CheckError](err):
		return TypeCheck
	case isError[*FormatRefusedError](err):
		return TypeFormat
	case isError[*ExpiredError](err):
		return TypeExpired
	case isError[*AbandonedError](err):
		return TypeAbandoned
	case isError[*AlreadyConfirmedError](err):
		return TypeAlreadyActive
	case isError[*LaggingError](err), isError[*NothingHeldError](err):
		return TypeLagging
	case isError[*StoreNewerError](err):
		return TypeNewer
	case isError[*PlanNotFoundError](err):
		return TypeNotFound
	case isError[*BusyError](err):
		return TypeBusy
	case isError[*UnavailableError](err):
		return TypeUnavailable
	default:
		return TypeInternal
	}
}

// isError reports whether err has an E in its chain.
func isError[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

type errorText struct {
	Error failureText `json:"error"`
}

type failureText struct {
	Type      Type           `json:"type"`
	Message   string         `json:"message"`
	Conflicts []conflictText `json:"conflicts,omitempty"`
	Faults    []string       `json:"faults,omitempty"`
}

type conflictText struct {
	Object   string `json:"object"`
	Version  uint64 `json:"version,omitempty"`
	Operator string `json:"operator,omitempty"`
	Plan     string `json:"plan,omitempty"`
}

func failure(err error) failureText {
	f := failureText{Type: typeOf(err), Message: err.Error()}
	var (
		conflict *ConflictError
		check    *snapshot.CheckError
		load     *declaration.LoadError
	)
	if errors.As(err, &conflict) {
		for _, c := range conflict.Conflicts {
			f.Conflicts = append(f.Conflicts, conflictText{c.Object.String(), c.Version, c.Operator, c.PlanID})
		}
	}
	switch {
	case errors.As(err, &check):
		for _, fault := range check.Faults {
			f.Faults = append(f.Faults, fault.Error())
		}
	case errors.As(err, &load):
		for _, fault := range load.Faults {
			f.Faults = append(f.Faults, fault.Error())
		}
	}
	return f
}

func writeError(w http.ResponseWriter, err error) {
	f := failure(err)
	b, encodeErr := json.Marshal(errorText{f})
	if encodeErr != nil {
		f.Type = TypeInternal
	}
	w.Header().Set("Content-Type", "application/json")
	if f.Type == TypeUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(statuses[f.Type])
	_, _ = w.Write(append(b, '\n'))
}
