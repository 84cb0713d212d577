package message

import (
	"math"
	"net/http"
	"strings"
)

// InvalidError reports bytes that no response of the protocol contains at that place.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid response: " + e.Reason }

// state is the part of a response to which the next byte belongs.
type state uint8

const (
	statusLine state = iota
	reasonPhrase
	lineStart // of a line of a head or of trailers
	fieldName
	fieldValue
	lineFeed  // that ends a line of a head or of trailers
	sectionLF // that ends a head, or trailers
	fixedBody // with a stated length
	endless   // up to the end of the connection
	chunkSize
	chunkExt
	chunkLineLF
	chunkData
	chunkCR
	chunkLF
)

// field is a field that says where the body ends.
type field uint8

const (
	otherField field = iota
	contentLength
	transferEncoding
)

const (
	contentLengthName    = "content-length"
	transferEncodingName = "transfer-encoding"
	chunkedCoding        = "chunked"
)

// statusTemplate is the fixed part of a status line: d is a digit, s one of a status.
const statusTemplate = "HTTP/1.d sss "

// check follows the bytes of consecutive responses on a connection. It keeps none but the start of a
// field's name, so that it needs no memory for a head.
type check struct {
	length int64 // stated length of the body
	left   int64 // of the body or the chunk
	pos    int32 // in the status line, a name, a value or a chunk's size
	status int16

	lengths, encodings uint8 // statements of the body's length

	state     state
	field     field
	minor     byte // of the version, as a digit
	headOnly  bool // the response is one to HEAD
	inTrailer bool
	valueEnd  bool // only blanks may follow in the value

	name [len(transferEncodingName)]byte // start of the field's name
}

// next follows p. It returns the offset in p after the last response, or interim head, that ends
// there, or 0 if none does.
func (c *check) next(p []byte) (ended int, invalid *InvalidError) {
	for i := 0; i < len(p); {
		switch c.state {
		case endless:
			return ended, nil
		case fixedBody, chunkData:
			n := min(c.left, int64(len(p)-i))
			c.left -= n
			i += int(n)
			switch {
			case c.left > 0:
			case c.state == chunkData:
				c.state = chunkCR
			default:
				c.begin()
				ended = i
			}
		default:
			if n := c.skip(p[i:]); n > 0 {
				i += n
				continue
			}
			if reason := c.step(p[i]); reason != "" {
				return ended, &InvalidError{Reason: reason}
			}
			i++
			if c.begins() {
				ended = i
			}
		}
	}
	return ended, nil
}

// begins reports whether the next byte is the first of a response.
func (c *check) begins() bool { return c.state == statusLine && c.pos == 0 }

// begin prepares for the next response.
func (c *check) begin() { *c = check{headOnly: c.headOnly} }

// skip follows the bytes that p begins with and that leave the state as it is, and returns how many
// these are. It may return less.
func (c *check) skip(p []byte) (n int) {
	switch {
	case c.state == fieldName:
		for n < len(p) && tokenBytes[p[n]] {
			n++
		}
		if int(c.pos) < len(c.name) {
			copy(c.name[c.pos:], p[:n])
		}
		c.pos += int32(n)
	case c.state == reasonPhrase, c.state == fieldValue && c.field == otherField:
		for n < len(p) && IsFieldByte(p[n]) {
			n++
		}
	}
	return n
}

// step follows one byte. It returns why the byte is invalid, or "".
func (c *check) step(b byte) (invalid string) {
	switch c.state {
	case statusLine:
		return c.inStatusLine(b)
	case reasonPhrase:
		if b == '\r' {
			c.state = lineFeed
		} else if !IsFieldByte(b) {
			return "a control character in the status line"
		}
	case lineStart:
		switch {
		case b == '\r':
			c.state = sectionLF
		case !IsTokenByte(b):
			return "a line of the head doesn't begin with the name of a field"
		default:
			c.state, c.pos = fieldName, 1
			c.name[0] = b
		}
	case fieldName:
		if b != ':' {
			return "the name of a field contains a character that isn't allowed"
		}
		return c.beginValue()
	case fieldValue:
		if b == '\r' {
			c.state = lineFeed
			return c.endValue()
		}
		return c.inValue(b)
	case lineFeed:
		c.state = lineStart
		return wantLF(b)
	case sectionLF:
		if b != '\n' {
			return wantLF(b)
		}
		if c.inTrailer {
			c.begin()
			return ""
		}
		return c.endHead()
	default:
		return c.inChunks(b)
	}
	return ""
}

func wantLF(b byte) (invalid string) {
	if b != '\n' {
		return "a CR that no LF follows"
	}
	return ""
}

func (c *check) inStatusLine(b byte) (invalid string) {
	switch want := statusTemplate[c.pos]; {
	case want == 'd' && isDigit(b):
		c.minor = b
	case want == 's' && isDigit(b):
		c.status = 10*c.status + int16(b-'0')
	case want != b || want == 'd' || want == 's':
		return "it doesn't begin with a status line"
	}
	if c.pos++; int(c.pos) < len(statusTemplate) {
		return ""
	}
	if c.status < 100 || c.status > 599 {
		return "the status is outside 100 to 599"
	}
	c.state = reasonPhrase
	return ""
}

// namedField returns which field the name is that has just ended. Fields in trailers say nothing
// of the body.
func (c *check) namedField() field {
	switch {
	case c.inTrailer:
		return otherField
	case int(c.pos) == len(contentLengthName) && strings.EqualFold(string(c.name[:c.pos]), contentLengthName):
		return contentLength
	case int(c.pos) == len(transferEncodingName) && strings.EqualFold(string(c.name[:c.pos]), transferEncodingName):
		return transferEncoding
	default:
		return otherField
	}
}

func (c *check) beginValue() (invalid string) {
	c.field, c.state, c.pos, c.valueEnd = c.namedField(), fieldValue, 0, false
	switch c.field {
	case contentLength:
		c.lengths++
	case transferEncoding:
		c.encodings++
	case otherField:
	}
	if c.lengths+c.encodings > 1 {
		return "the length of the body is stated more than once"
	}
	return ""
}

func (c *check) inValue(b byte) (invalid string) {
	blank := b == ' ' || b == '\t'
	switch {
	case !IsFieldByte(b):
		return "the value of a field contains a control character"
	case c.field == otherField:
		return ""
	case blank && c.pos == 0:
		return ""
	case blank:
		c.valueEnd = true
		return ""
	}
	if c.valueEnd || !c.inFraming(b) {
		return "the length of the body can't be told"
	}
	c.pos++
	return ""
}

// inFraming follows a byte of the value of a field that says where the body ends, and reports
// whether it may be there.
func (c *check) inFraming(b byte) bool {
	if c.field == transferEncoding {
		return int(c.pos) < len(chunkedCoding) && b|0x20 == chunkedCoding[c.pos]
	}
	if !isDigit(b) || c.length > (math.MaxInt64-int64(b-'0'))/10 {
		return false
	}
	c.length = 10*c.length + int64(b-'0')
	return true
}

func (c *check) endValue() (invalid string) {
	if c.field == contentLength && c.pos == 0 || c.field == transferEncoding && int(c.pos) < len(chunkedCoding) {
		return "the length of the body can't be told"
	}
	return ""
}

// endHead finds how the response goes on after its head.
func (c *check) endHead() (invalid string) {
	if c.encodings > 0 && c.minor == '0' {
		return "a transfer coding in a response of HTTP/1.0"
	}
	interim := c.status < http.StatusOK
	switch {
	case c.status == http.StatusSwitchingProtocols:
		c.state = endless
	case interim || c.headOnly || c.status == http.StatusNoContent || c.status == http.StatusNotModified:
		c.begin()
	case c.encodings > 0:
		c.state, c.pos, c.left = chunkSize, 0, 0
	case c.lengths == 0:
		c.state = endless
	case c.length == 0:
		c.begin()
	default:
		c.state, c.left = fixedBody, c.length
	}
	return ""
}

// inChunks follows a byte between the data of chunks.
func (c *check) inChunks(b byte) (invalid string) {
	switch c.state {
	case chunkSize:
		return c.inChunkSize(b)
	case chunkExt:
		if b == '\r' {
			c.state = chunkLineLF
		} else if !IsFieldByte(b) {
			return "a control character in a chunk's extension"
		}
	case chunkLineLF:
		c.endChunkLine()
		return wantLF(b)
	case chunkCR:
		c.state = chunkLF
		if b != '\r' {
			return "a chunk is longer than its size"
		}
	default:
		c.state, c.pos, c.left = chunkSize, 0, 0
		return wantLF(b)
	}
	return ""
}

func (c *check) inChunkSize(b byte) (invalid string) {
	digit := hexValue(b)
	switch {
	case digit >= 0 && c.left <= math.MaxInt64>>4:
		c.left = c.left<<4 | digit
		c.pos++
	case c.pos == 0:
		return "a chunk without a size"
	case b == ';':
		c.state = chunkExt
	case b == '\r':
		c.state = chunkLineLF
	default:
		return "a chunk's size that can't be read"
	}
	return ""
}

func (c *check) endChunkLine() {
	if c.left > 0 {
		c.state = chunkData
		return
	}
	c.state, c.inTrailer = lineStart, true
}
