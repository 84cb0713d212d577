package poison

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
)

// Crash reports that a target process ended with calls in flight. Nodes send it to each
// other.
type Crash struct {
	Process  Process
	InFlight []Fingerprint
}

// maxReportedCalls bounds the calls in the report of one crash. It is about four times
// the slots of a usual target.
const maxReportedCalls = 64

const fingerprintBytes = 16

// String encodes the crash for ParseCrash as instance, boot and the concatenated
// fingerprints in hexadecimal, separated by slashes. It encodes at most maxReportedCalls
// calls.
func (c Crash) String() string {
	var b strings.Builder
	b.WriteString(c.Process.Instance + "/" + strconv.FormatUint(c.Process.Boot, 10) + "/")
	for _, f := range c.InFlight[:min(len(c.InFlight), maxReportedCalls)] {
		var raw [fingerprintBytes]byte
		binary.BigEndian.PutUint64(raw[:], f.hi)
		binary.BigEndian.PutUint64(raw[fingerprintBytes/2:], f.lo)
		b.WriteString(hex.EncodeToString(raw[:]))
	}
	return b.String()
}

// ParseCrash decodes the result of Crash.String, and returns false for any other string.
func ParseCrash(s string) (Crash, bool) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 {
		return Crash{}, false
	}
	boot, err := strconv.ParseUint(parts[1], 10, 64)
	raw, hexErr := hex.DecodeString(parts[2])
	if err != nil || hexErr != nil || parts[0] == "" || len(raw)%fingerprintBytes != 0 || len(raw) > maxReportedCalls*fingerprintBytes {
		return Crash{}, false
	}
	c := Crash{Process: Process{Instance: parts[0], Boot: boot}}
	for ; len(raw) > 0; raw = raw[fingerprintBytes:] {
		c.InFlight = append(c.InFlight, Fingerprint{
			binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[fingerprintBytes/2:]),
		})
	}
	return c, true
}
