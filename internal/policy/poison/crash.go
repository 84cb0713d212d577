package poison

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
)

// Crash is a target process that ended with some calls in flight, as nodes tell
// each other of it.
type Crash struct {
	Process  Process
	InFlight []Fingerprint
}

// maxTold bounds the calls of one crash that are told: four times the slots of
// the users' targets.
const maxTold = 64

const fingerprintBytes = 16

// String returns the crash as one word of text.
func (c Crash) String() string {
	var b strings.Builder
	b.WriteString(c.Process.Instance + "/" + strconv.FormatUint(c.Process.Boot, 10) + "/")
	for _, f := range c.InFlight[:min(len(c.InFlight), maxTold)] {
		var raw [fingerprintBytes]byte
		binary.BigEndian.PutUint64(raw[:], f.hi)
		binary.BigEndian.PutUint64(raw[fingerprintBytes/2:], f.lo)
		b.WriteString(hex.EncodeToString(raw[:]))
	}
	return b.String()
}

// ParseCrash reads the text that String writes; false for any other text.
func ParseCrash(text string) (Crash, bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return Crash{}, false
	}
	boot, err := strconv.ParseUint(parts[1], 10, 64)
	raw, herr := hex.DecodeString(parts[2])
	if err != nil || herr != nil || parts[0] == "" || len(raw)%fingerprintBytes != 0 || len(raw) > maxTold*fingerprintBytes {
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
