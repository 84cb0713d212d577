// Package message holds HTTP/1.1 responses to their grammar (RFC 9110 and 9112) before net/http
// parses them.
//
// net/http accepts more than that: blanks in the names of fields, any three digits as a status,
// two statements of a body's length. It also takes the end of a stream for the end of a body
// whose length isn't stated, though the peer may have reset the connection. Conn makes each of
// these an error of the response. It only checks; what a response says is read from net/http.
package message
