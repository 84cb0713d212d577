package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"banyanlug.example/banyanlug/internal/cli/app"
	"banyanlug.example/banyanlug/internal/config/declaration"
	"banyanlug.example/banyanlug/internal/control/operator"
)

// exitCode returns the exit code of an error of the operators' subcommands.
func exitCode(err error) int {
	var (
		unknown  *operator.OutcomeUnknownError
		step     *operator.StepUnknownError
		conflict *operator.ConflictError
		remote   *operator.RemoteError
	)
	switch {
	case errors.As(err, &unknown), errors.As(err, &step):
		return app.ExitUnknown
	case errors.As(err, &conflict):
		return app.ExitConflict
	case errors.As(err, &remote) && remote.Type == operator.TypeConflict:
		return app.ExitConflict
	case errors.As(err, &remote) && remote.Type == operator.TypeUnknown:
		return app.ExitUnknown
	default:
		return app.ExitFailed
	}
}

// failureJSON is the "error" object that -json writes.
type failureJSON struct {
	Type      string         `json:"type"`
	Message   string         `json:"message"`
	Faults    []faultJSON    `json:"faults,omitempty"`
	Conflicts []conflictJSON `json:"conflicts,omitempty"`
}

type faultJSON struct {
	Type    string `json:"type,omitempty"`
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
}

type conflictJSON struct {
	Object   string `json:"object"`
	Version  uint64 `json:"version,omitempty"`
	Operator string `json:"operator,omitempty"`
	Plan     string `json:"plan,omitempty"`
}

// failAsJSON writes err as JSON to standard output, where a script reads the
// result.
func (a *App) failAsJSON(err error) error {
	failure := failureJSON{Type: typeName(err), Message: err.Error()}
	var (
		load   *declaration.LoadError
		remote *operator.RemoteError
	)
	if errors.As(err, &load) {
		for _, f := range load.Faults {
			p := f.Position()
			failure.Faults = append(failure.Faults, faultJSON{typeName(f), p.File(), p.Line(), p.Column(), f.Error()})
		}
	}
	if errors.As(err, &remote) {
		failure.Type = string(remote.Type)
		for _, f := range remote.Faults {
			failure.Faults = append(failure.Faults, faultJSON{Message: f})
		}
		for _, c := range remote.Conflicts {
			failure.Conflicts = append(failure.Conflicts, conflictJSON{c.Object.String(), c.Version, c.Operator, c.PlanID})
		}
	}
	if writeErr := a.writeJSON(map[string]failureJSON{"error": failure}); writeErr != nil {
		return err
	}
	return &app.WrittenError{Err: err}
}

func (a *App) writeJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	if _, err := a.Stdout().Write(append(b, '\n')); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return nil
}

// typeName returns the error's type in snake case without the suffix Error:
// "LoadError" is "load". Scripts match it, so renaming an error type changes the
// JSON output.
func typeName(err error) string {
	var unknown *operator.OutcomeUnknownError
	var step *operator.StepUnknownError
	if errors.As(err, &unknown) || errors.As(err, &step) {
		return string(operator.TypeUnknown)
	}
	typ := fmt.Sprintf("%T", err)
	typ = strings.TrimSuffix(typ[strings.LastIndex(typ, ".")+1:], "Error")
	var b strings.Builder
	for i, r := range typ {
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
