package lifecycle

import (
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
)

const (
	// maxDepartures bounds the processes that a tracker remembers, and maxSavedDepartures
	// those of them that outlast the node's process. Heartbeats are delayed by seconds, in
	// which far fewer processes leave an address.
	maxDepartures      = 64
	maxSavedDepartures = 8
)

// departure is a process whose heartbeats no longer count.
type departure struct {
	id      string
	startMs uint64 // a later process may have the same id
	// reported is set if the process has reported that it leaves. The others have been
	// replaced.
	reported bool
}

// departures are the processes that have left or been replaced, the latest last. Those that
// were replaced are dropped first, as a target that crashes again and again has many.
type departures []departure

// add remembers a process and reports whether that changes which reported ones are known.
func (d *departures) add(p departure) (changed bool) {
	i := slices.IndexFunc(*d, func(known departure) bool { return known.id == p.id })
	if i >= 0 {
		known := (*d)[i]
		if known.startMs >= p.startMs && (known.reported || !p.reported) {
			return false
		}
		p.startMs, p.reported = max(p.startMs, known.startMs), p.reported || known.reported
		*d = slices.Delete(*d, i, i+1)
	}
	if len(*d) >= maxDepartures {
		oldest := slices.IndexFunc(*d, func(known departure) bool { return !known.reported })
		oldest = max(0, oldest)
		*d = slices.Delete(*d, oldest, oldest+1)
	}
	*d = append(*d, p)
	return p.reported
}

// restore drops a process that was taken for replaced.
func (d *departures) restore(id string) {
	*d = slices.DeleteFunc(*d, func(known departure) bool { return known.id == id && !known.reported })
}

// forget drops the departure of a process and returns it.
func (d *departures) forget(id string) departure {
	i := slices.IndexFunc(*d, func(known departure) bool { return known.id == id })
	if i < 0 {
		return departure{}
	}
	known := (*d)[i]
	*d = slices.Delete(*d, i, i+1)
	return known
}

// contains reports whether a process that has started at startMs has reported that it leaves or,
// unless only that counts, has been replaced.
func (d departures) contains(id string, startMs uint64, onlyReported bool) bool {
	return slices.ContainsFunc(d, func(known departure) bool {
		return known.id == id && startMs <= known.startMs && (known.reported || !onlyReported)
	})
}

// String returns the text form of the latest reported departures, which parseDepartures
// reads: space-separated ids, with the start of the process if it is known.
func (d departures) String() string {
	var fields []string
	for _, p := range slices.Backward(d) {
		if !p.reported || len(fields) == maxSavedDepartures {
			continue
		}
		field := escapeID(p.id)
		if p.startMs > 0 {
			field += "@" + strconv.FormatUint(p.startMs, 36)
		}
		fields = append(fields, field)
	}
	slices.Reverse(fields)
	return strings.Join(fields, " ")
}

// parseDepartures reads the text form of departures and ignores what is malformed.
func parseDepartures(text string) departures {
	var out departures
	for field := range strings.FieldsSeq(text) {
		escaped, start, _ := strings.Cut(field, "@")
		id, err := unescapeID(escaped)
		startMs, numErr := strconv.ParseUint("0"+start, 36, 64)
		if err == nil && numErr == nil && id != "" {
			out = append(out, departure{id: id, startMs: startMs, reported: true})
		}
	}
	return out
}

// hexPrefix marks an id in hexadecimal, for characters that the text form uses itself.
const hexPrefix = "~"

func escapeID(id string) string {
	plain := func(r rune) bool {
		return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("-_.:", r)
	}
	if strings.IndexFunc(id, func(r rune) bool { return !plain(r) }) < 0 {
		return id
	}
	return hexPrefix + hex.EncodeToString([]byte(id))
}

func unescapeID(text string) (string, error) {
	digits, escaped := strings.CutPrefix(text, hexPrefix)
	if !escaped {
		return text, nil
	}
	b, err := hex.DecodeString(digits)
	return string(b), err
}
