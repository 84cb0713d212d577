package declaration

import (
	"fmt"
	"strings"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Fault is one thing wrong with a set of declarations.
type Fault interface {
	error
	Place() Place
}

// at gives a fault its place.
type at struct{ place Place }

// Place returns where the fault was found.
func (a at) Place() Place { return a.place }

// LoadError gathers every fault of a set of declarations, in the order of
// their places.
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

// FileError tells of a file that can't be read.
type FileError struct {
	at
	Err error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.place, e.Err) }

// Unwrap returns the file system's own error.
func (e *FileError) Unwrap() error { return e.Err }

// ExtensionError tells of a file that looks like a declaration but that its
// name keeps from being read.
type ExtensionError struct{ at }

func (e *ExtensionError) Error() string {
	return fmt.Sprintf("%s: is not read: declarations end in %s", e.place, extension)
}

// EmptyError tells of a folder without any object. To plan it would remove
// the whole configuration, which is never what a wrong path should do.
type EmptyError struct{ at }

func (e *EmptyError) Error() string {
	return fmt.Sprintf("%s: no object is declared in any *%s file", e.place, extension)
}

// SizeError tells of something larger than its bound.
type SizeError struct {
	at
	What       string
	Got, Limit int
	Unit       string
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s: %s has %d %s, at most %d", e.place, e.What, e.Got, e.Unit, e.Limit)
}

// SyntaxError tells of text that is not YAML, or of a part of YAML that
// declarations do without.
type SyntaxError struct {
	at
	Reason string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("%s: %s", e.place, e.Reason) }

// ReferenceError tells of an anchor, alias, tag or merge key. They are refused
// because a few lines of them can expand to more than memory holds.
type ReferenceError struct {
	at
	What string
}

func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s: %s can't be used in declarations: write the value out", e.place, e.What)
}

// UnknownFieldError tells of a field that no object of its kind has.
type UnknownFieldError struct {
	at
	In, Field string
	Known     []string
}

func (e *UnknownFieldError) Error() string {
	return fmt.Sprintf("%s: %s has no field %q; it has %s", e.place, e.In, e.Field, strings.Join(e.Known, ", "))
}

// RepeatedFieldError tells of a field that is given twice.
type RepeatedFieldError struct {
	at
	Field string
	First Place
}

func (e *RepeatedFieldError) Error() string {
	return fmt.Sprintf("%s: %s is given twice, first at %s", e.place, e.Field, e.First)
}

// MissingFieldError tells of an object that lacks a field it must have.
type MissingFieldError struct {
	at
	In, Field string
}

func (e *MissingFieldError) Error() string {
	return fmt.Sprintf("%s: %s needs a field %q", e.place, e.In, e.Field)
}

// TypeError tells of a value of the wrong type.
type TypeError struct {
	at
	Field, Want, Got string
}

func (e *TypeError) Error() string {
	return fmt.Sprintf("%s: %s must be %s, is %s", e.place, e.Field, e.Want, e.Got)
}

// DurationError tells of a text that is no duration.
type DurationError struct {
	at
	Field, Text string
}

func (e *DurationError) Error() string {
	return fmt.Sprintf("%s: %s: %q is no duration such as 250ms, 2s or 720h", e.place, e.Field, e.Text)
}

// ChoiceError tells of a word that is none of the few allowed.
type ChoiceError struct {
	at
	Field, Got string
	Want       []string
}

func (e *ChoiceError) Error() string {
	return fmt.Sprintf("%s: %s must be %s, is %q", e.place, e.Field, strings.Join(e.Want, " or "), e.Got)
}

// DuplicateError tells of an object that is declared twice.
type DuplicateError struct {
	at
	Key   snapshot.Key
	First Place
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s: %s is declared twice, first at %s", e.place, e.Key, e.First)
}

// CheckError gives a fault found by the check that every proxy makes the
// place in the declarations it comes from.
type CheckError struct {
	at
	Err error
}

func (e *CheckError) Error() string { return fmt.Sprintf("%s: %v", e.place, e.Err) }

// Unwrap returns the fault as the check found it: a snapshot.ValueError,
// DanglingError or OverlapError.
func (e *CheckError) Unwrap() error { return e.Err }
