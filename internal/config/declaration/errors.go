package declaration

import (
	"fmt"
	"strings"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Fault is one error in a set of declarations.
type Fault interface {
	error
	Position() Position
}

// located is embedded in faults for their position.
type located struct{ position Position }

// Position returns the position of the fault.
func (l located) Position() Position { return l.position }

// LoadError holds every fault of a set of declarations, in the order of their
// positions.
type LoadError struct{ Faults []Fault }

func (e *LoadError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults.
func (e *LoadError) Unwrap() []error {
	out := make([]error, len(e.Faults))
	for i, f := range e.Faults {
		out[i] = f
	}
	return out
}

// FileError reports a file or folder that can't be read.
type FileError struct {
	located
	Err error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.position, e.Err) }

// Unwrap returns the error of the file system.
func (e *FileError) Unwrap() error { return e.Err }

// ExtensionError reports a file that ends in .yml and is therefore not read.
type ExtensionError struct{ located }

func (e *ExtensionError) Error() string {
	return fmt.Sprintf("%s: is not read: declarations end in %s", e.position, extension)
}

// EmptyError reports a folder without any object, such as a mistyped path. A plan
// of it would remove the whole configuration.
type EmptyError struct{ located }

func (e *EmptyError) Error() string {
	return fmt.Sprintf("%s: no object is declared in any *%s file", e.position, extension)
}

// SizeError reports a file, folder or object that exceeds a limit.
type SizeError struct {
	located
	What       string
	Got, Limit int
	Unit       string
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s: %s has %d %s, at most %d", e.position, e.What, e.Got, e.Unit, e.Limit)
}

// SyntaxError reports text that is not YAML, or YAML syntax that declarations do
// not support.
type SyntaxError struct {
	located
	Reason string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("%s: %s", e.position, e.Reason) }

// ReferenceError reports an anchor, alias, tag or merge key. They are refused
// because a few lines of them can expand beyond the available memory.
type ReferenceError struct {
	located
	What string
}

func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s: %s can't be used in declarations: write the value out", e.position, e.What)
}

// UnknownFieldError reports a field that its kind of object does not have.
type UnknownFieldError struct {
	located
	In, Field string
	Known     []string
}

func (e *UnknownFieldError) Error() string {
	return fmt.Sprintf("%s: %s has no field %q; it has %s", e.position, e.In, e.Field, strings.Join(e.Known, ", "))
}

// RepeatedFieldError reports a field that is given twice in one mapping.
type RepeatedFieldError struct {
	located
	Field string
	First Position
}

func (e *RepeatedFieldError) Error() string {
	return fmt.Sprintf("%s: %s is given twice, first at %s", e.position, e.Field, e.First)
}

// MissingFieldError reports that an object lacks a required field.
type MissingFieldError struct {
	located
	In, Field string
}

func (e *MissingFieldError) Error() string {
	return fmt.Sprintf("%s: %s needs a field %q", e.position, e.In, e.Field)
}

// TypeError reports a value of the wrong type.
type TypeError struct {
	located
	Field, Want, Got string
}

func (e *TypeError) Error() string {
	return fmt.Sprintf("%s: %s must be %s, is %s", e.position, e.Field, e.Want, e.Got)
}

// DurationError reports a value that can't be parsed as a duration.
type DurationError struct {
	located
	Field, Text string
}

func (e *DurationError) Error() string {
	return fmt.Sprintf("%s: %s: %q is no duration such as 250ms, 2s or 720h", e.position, e.Field, e.Text)
}

// ChoiceError reports a value that is none of the allowed ones.
type ChoiceError struct {
	located
	Field, Got string
	Want       []string
}

func (e *ChoiceError) Error() string {
	return fmt.Sprintf("%s: %s must be %s, is %q", e.position, e.Field, strings.Join(e.Want, " or "), e.Got)
}

// DuplicateError reports an object that is declared twice.
type DuplicateError struct {
	located
	Key   snapshot.Key
	First Position
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s: %s is declared twice, first at %s", e.position, e.Key, e.First)
}

// CheckError is a fault found by the check that every node runs on a snapshot, with
// its position in the declarations.
type CheckError struct {
	located
	Err error
}

func (e *CheckError) Error() string { return fmt.Sprintf("%s: %v", e.position, e.Err) }

// Unwrap returns the fault as the check found it: a snapshot.ValueError,
// DanglingError or OverlapError.
func (e *CheckError) Unwrap() error { return e.Err }
