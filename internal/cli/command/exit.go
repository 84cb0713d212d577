package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"banyanlug.example/banyanlug/internal/config/declaration"
	"banyanlug.example/banyanlug/internal/control/operator"
)

// The exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

const exitHelp = "Exit codes: 0 done, 1 failed, 2 bad usage, 3 conflict, 4 outcome unknown."

// UsageError tells of a command that can't be run as it was given.
type UsageError struct{ Text string }

func (e *UsageError) Error() string { return e.Text }

// SettingError tells of a setting whose value can't be.
type SettingError struct{ Setting, Reason string }

func (e *SettingError) Error() string {
	return fmt.Sprintf("-%s (%s): %s", e.Setting, envOf(e.Setting), e.Reason)
}

// usage wraps what the flag library says of a bad flag.
func usage(err error) error {
	var setting *SettingError
	if errors.As(err, &setting) {
		return err
	}
	text, _, _ := strings.Cut(err.Error(), "\n")
	text = strings.TrimPrefix(text, "error parsing commandline arguments: ")
	text = strings.TrimPrefix(text, "error parsing environment variables: ")
	return &UsageError{Text: text}
}

// jsonError is a failure that was already written as JSON.
type jsonError struct{ err error }

func (e *jsonError) Error() string { return e.err.Error() }

func (e *jsonError) Unwrap() error { return e.err }

// fail writes a failure and returns its exit code.
func (a *App) fail(err error) int {
	var shown *jsonError
	if !errors.As(err, &shown) {
		_, _ = fmt.Fprintf(a.stderr, "%s: %v\n", name, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		usage    *UsageError
		setting  *SettingError
		unknown  *operator.OutcomeUnknownError
		step     *operator.StepUnknownError
		conflict *operator.ConflictError
		remote   *operator.RemoteError
	)
	switch {
	case errors.As(err, &usage), errors.As(err, &setting):
		return exitUsage
	case errors.As(err, &unknown), errors.As(err, &step):
		return exitUnknown
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &remote) && remote.Type == operator.TypeConflict:
		return exitConflict
	case errors.As(err, &remote) && remote.Type == operator.TypeUnknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

// failureText is a failure as -json writes it.
type failureText struct {
	Type      string         `json:"type"`
	Message   string         `json:"message"`
	Faults    []faultText    `json:"faults,omitempty"`
	Conflicts []conflictText `json:"conflicts,omitempty"`
}

type faultText struct {
	Type    string `json:"type,omitempty"`
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
}

type conflictText struct {
	Object   string `json:"object"`
	Version  uint64 `json:"version,omitempty"`
	Operator string `json:"operator,omitempty"`
	Plan     string `json:"plan,omitempty"`
}

// failAsJSON writes a failure to standard output, where a script looks for
// the result.
func (a *App) failAsJSON(err error) error {
	text := failureText{Type: typeName(err), Message: err.Error()}
	var (
		load   *declaration.LoadError
		remote *operator.RemoteError
	)
	if errors.As(err, &load) {
		for _, f := range load.Faults {
			p := f.Place()
			text.Faults = append(text.Faults, faultText{typeName(f), p.File(), p.Line(), p.Column(), f.Error()})
		}
	}
	if errors.As(err, &remote) {
		text.Type = string(remote.Type)
		for _, f := range remote.Faults {
			text.Faults = append(text.Faults, faultText{Message: f})
		}
		for _, c := range remote.Conflicts {
			text.Conflicts = append(text.Conflicts, conflictText{c.Object.String(), c.Version, c.Operator, c.PlanID})
		}
	}
	if writeErr := a.writeJSON(map[string]failureText{"error": text}); writeErr != nil {
		return err
	}
	return &jsonError{err}
}

func (a *App) writeJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	if _, err := a.stdout.Write(append(b, '\n')); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return nil
}

// typeName returns the name of an error's type as scripts see it: "FooError"
// is "foo".
func typeName(err error) string {
	var unknown *operator.OutcomeUnknownError
	var step *operator.StepUnknownError
	if errors.As(err, &unknown) || errors.As(err, &step) {
		return string(operator.TypeUnknown)
	}
	t := fmt.Sprintf("%T", err)
	t = strings.TrimSuffix(t[strings.LastIndex(t, ".")+1:], "Error")
	var b strings.Builder
	for i, r := range t {
		if r >= 'A' && r <= 'Z' {
			if i > 0 {
				b.WriteByte('_')
			}
			r += 'a' - 'A'
		}
		b.WriteRune(r)
	}
	return b.String()
}
