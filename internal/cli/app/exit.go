package app

import (
	"errors"
	"fmt"
	"strings"
)

// Process exit codes.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitUnknown  = 4
)

// ExitHelp is the list of exit codes for a command's help.
const ExitHelp = "Exit codes: 0 done, 1 failed, 2 bad usage, 3 conflict, 4 outcome unknown."

// UsageError reports wrong arguments or flags.
type UsageError struct{ Text string }

func (e *UsageError) Error() string { return e.Text }

// SettingError reports a setting with an invalid value. Setting is the flag's
// name without the hyphen.
type SettingError struct{ Setting, Reason string }

func (e *SettingError) Error() string {
	return fmt.Sprintf("-%s (%s): %s", e.Setting, envVar(e.Setting), e.Reason)
}

// WrittenError wraps an error that a subcommand has already written, so that Run
// doesn't print it again.
type WrittenError struct{ Err error }

func (e *WrittenError) Error() string { return e.Err.Error() }

// Unwrap returns the error that was written.
func (e *WrittenError) Unwrap() error { return e.Err }

// usageError turns an error of the flag library into a UsageError of one line.
func usageError(err error) error {
	var setting *SettingError
	if errors.As(err, &setting) {
		return err
	}
	text, _, _ := strings.Cut(err.Error(), "\n")
	text = strings.TrimPrefix(text, "error parsing commandline arguments: ")
	text = strings.TrimPrefix(text, "error parsing environment variables: ")
	return &UsageError{Text: text}
}

// fail prints err to stderr, unless it is a WrittenError, and returns its exit code.
func (a *App) fail(err error) int {
	var (
		written *WrittenError
		usage   *UsageError
		setting *SettingError
	)
	if !errors.As(err, &written) {
		_, _ = fmt.Fprintf(a.stderr, "%s: %v\n", Name, err)
	}
	if errors.As(err, &usage) || errors.As(err, &setting) {
		return ExitUsage
	}
	return a.exitCode(err)
}
