package poison

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Crash reports that a target process ended with calls in flight. Nodes send it to each
// other, and read it from entries that may be old.
type Crash struct {
	Process  Process
	At       time.Time // in milliseconds, by the clock of the reporting node
	InFlight []Call
	// Marks are of the calls in flight with long bodies.
	Marks []Fingerprint
}

// maxReportedCalls bounds the calls and the marks in the report of one crash. It is about four
// times the slots of a usual target.
const maxReportedCalls = 64

const fingerprintBytes = 16

// String encodes the crash for ParseCrash as instance, boot, the time in Unix milliseconds, the
// concatenated fingerprints of the calls in hexadecimal and, if there are any, the marks, separated by
// slashes. It encodes at most maxReportedCalls of each.
func (c Crash) String() string {
	var calls, marks []byte
	for _, call := range c.InFlight[:min(len(c.InFlight), maxReportedCalls)] {
		calls = call.Content.appendTo(call.Exact.appendTo(calls))
	}
	text := fmt.Sprintf("%s/%d/%d/%x", c.Process.Instance, c.Process.Boot, c.At.UnixMilli(), calls)
	if len(c.Marks) == 0 {
		return text
	}
	for _, f := range c.Marks[:min(len(c.Marks), maxReportedCalls)] {
		marks = f.appendTo(marks)
	}
	return fmt.Sprintf("%s/%x", text, marks)
}

// ParseCrash decodes the result of Crash.String, and returns false for any other string.
func ParseCrash(s string) (Crash, bool) {
	parts := strings.Split(s, "/")
	if len(parts) == 4 {
		parts = append(parts, "")
	}
	if len(parts) != 5 {
		return Crash{}, false
	}
	boot, err := strconv.ParseUint(parts[1], 10, 64)
	at, timeErr := strconv.ParseInt(parts[2], 10, 64)
	calls, callsOK := decodeFingerprints(parts[3], 2*maxReportedCalls)
	marks, marksOK := decodeFingerprints(parts[4], maxReportedCalls)
	if err != nil || timeErr != nil || !callsOK || !marksOK || parts[0] == "" || len(calls)%2 != 0 {
		return Crash{}, false
	}
	c := Crash{Process: Process{Instance: parts[0], Boot: boot}, At: time.UnixMilli(at), Marks: marks}
	for pair := range slices.Chunk(calls, 2) {
		c.InFlight = append(c.InFlight, Call{Exact: pair[0], Content: pair[1]})
	}
	return c, true
}

// decodeFingerprints decodes at most limit concatenated fingerprints.
func decodeFingerprints(text string, limit int) (out []Fingerprint, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw)%fingerprintBytes != 0 || len(raw) > limit*fingerprintBytes {
		return nil, false
	}
	for b := range slices.Chunk(raw, fingerprintBytes) {
		out = append(out, decodeFingerprint(b))
	}
	return out, true
}

func decodeFingerprint(raw []byte) Fingerprint {
	return Fingerprint{binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[fingerprintBytes/2:])}
}
