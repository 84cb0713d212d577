package poison

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
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
}

// maxReportedCalls bounds the calls in the report of one crash. It is about four times
// the slots of a usual target.
const maxReportedCalls = 64

const (
	fingerprintBytes = 16
	callBytes        = 2 * fingerprintBytes
)

// String encodes the crash for ParseCrash as instance, boot, the time in Unix milliseconds and
// the concatenated fingerprints in hexadecimal, separated by slashes. It encodes at most maxReportedCalls
// calls.
func (c Crash) String() string {
	var raw []byte
	for _, call := range c.InFlight[:min(len(c.InFlight), maxReportedCalls)] {
		for _, f := range [...]Fingerprint{call.Exact, call.Content} {
			raw = f.appendTo(raw)
		}
	}
	return fmt.Sprintf("%s/%d/%d/%x", c.Process.Instance, c.Process.Boot, c.At.UnixMilli(), raw)
}

// ParseCrash decodes the result of Crash.String, and returns false for any other string.
func ParseCrash(s string) (Crash, bool) {
	parts := strings.Split(s, "/")
	if len(parts) != 4 {
		return Crash{}, false
	}
	boot, err := strconv.ParseUint(parts[1], 10, 64)
	at, timeErr := strconv.ParseInt(parts[2], 10, 64)
	raw, hexErr := hex.DecodeString(parts[3])
	if err != nil || timeErr != nil || hexErr != nil || parts[0] == "" || len(raw)%callBytes != 0 || len(raw) > maxReportedCalls*callBytes {
		return Crash{}, false
	}
	c := Crash{Process: Process{Instance: parts[0], Boot: boot}, At: time.UnixMilli(at)}
	for ; len(raw) > 0; raw = raw[callBytes:] {
		c.InFlight = append(c.InFlight, Call{decodeFingerprint(raw), decodeFingerprint(raw[fingerprintBytes:])})
	}
	return c, true
}

func decodeFingerprint(raw []byte) Fingerprint {
	return Fingerprint{binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[fingerprintBytes/2:])}
}
