package operator

import (
	"encoding/json"
	"errors"
	"net/http"

	"banyanlug.example/banyanlug/internal/config/declaration"
	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// RequestError tells of a request that can't be read.
type RequestError struct{ Reason string }

func (e *RequestError) Error() string { return "malformed request: " + e.Reason }

// PathError tells of a path that the API does not have.
type PathError struct{}

func (e *PathError) Error() string { return "the operators' API has no such path" }

// MethodError tells of a method that a path does not take.
type MethodError struct{}

func (e *MethodError) Error() string { return "this path does not take this method" }

// Type names a kind of failure on the wire.
type Type string

// The types of failure.
const (
	TypeRequest      Type = "request"
	TypeUnauthorized Type = "unauthorized"
	TypePath         Type = "path"
	TypeMethod       Type = "method"
	TypeTooLarge     Type = "too_large"
	TypeIntent       Type = "intent"
	TypeDeclaration  Type = "declaration"
	TypeCheck        Type = "check"
	TypeFormat       Type = "format"
	TypeConflict     Type = "conflict"
	TypeExpired      Type = "expired"
	TypeAbandoned    Type = "abandoned"
	TypeInForce      Type = "in_force"
	TypeLagging      Type = "lagging"
	TypeNewer        Type = "store_newer"
	TypeNotFound     Type = "not_found"
	TypeBusy         Type = "busy"
	TypeUnavailable  Type = "unavailable"
	TypeUnknown      Type = "outcome_unknown"
	TypeInternal     Type = "internal"
)

// statuses is the one place that says which status a type of failure has.
var statuses = map[Type]int{
	TypeRequest:      http.StatusBadRequest,
	TypeUnauthorized: http.StatusUnauthorized,
	TypePath:         http.StatusNotFound,
	TypeMethod:       http.StatusMethodNotAllowed,
	TypeTooLarge:     http.StatusRequestEntityTooLarge,
	TypeIntent:       http.StatusUnprocessableEntity,
	TypeDeclaration:  http.StatusUnprocessableEntity,
	TypeCheck:        http.StatusUnprocessableEntity,
	TypeFormat:       http.StatusConflict,
	TypeConflict:     http.StatusConflict,
	TypeExpired:      http.StatusGone,
	TypeAbandoned:    http.StatusGone,
	TypeInForce:      http.StatusConflict,
	TypeLagging:      http.StatusConflict,
	TypeNewer:        http.StatusConflict,
	TypeNotFound:     http.StatusNotFound,
	TypeBusy:         http.StatusServiceUnavailable,
	TypeUnavailable:  http.StatusServiceUnavailable,
	TypeUnknown:      http.StatusGatewayTimeout,
	TypeInternal:     http.StatusInternalServerError,
}

// typeOf returns the type of a failure. What says that a plan may be in force
// goes before all that it may wrap.
func typeOf(err error) Type {
	switch {
	case is[*OutcomeUnknownError](err), is[*StepUnknownError](err):
		return TypeUnknown
	case is[*ConflictError](err):
		return TypeConflict
	case is[*UnauthorizedError](err):
		return TypeUnauthorized
	case is[*TooLargeError](err):
		return TypeTooLarge
	case is[*PathError](err):
		return TypePath
	case is[*MethodError](err):
		return TypeMethod
	case is[*RequestError](err):
		return TypeRequest
	case is[*IntentError](err), is[*snapshot.KeyError](err):
		return TypeIntent
	case is[*declaration.LoadError](err):
		return TypeDeclaration
	case is[*snapshot.CheckError](err):
		return TypeCheck
	case is[*FormatRefusedError](err):
		return TypeFormat
	case is[*ExpiredError](err):
		return TypeExpired
	case is[*AbandonedError](err):
		return TypeAbandoned
	case is[*AlreadyConfirmedError](err):
		return TypeInForce
	case is[*LaggingError](err), is[*NothingHeldError](err):
		return TypeLagging
	case is[*StoreNewerError](err):
		return TypeNewer
	case is[*PlanNotFoundError](err):
		return TypeNotFound
	case is[*BusyError](err):
		return TypeBusy
	case is[*UnavailableError](err):
		return TypeUnavailable
	default:
		return TypeInternal
	}
}

func is[E error](err error) bool {
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
