package responder

import "fmt"

// Response is a response with something odd in one part.
type Response struct {
	part   string
	text   string
	body   string
	closes bool
}

// Part names what is odd.
func (r Response) Part() string { return r.part }

// Text returns the bytes.
func (r Response) Text() string { return r.text }

// Body returns the body of a sound response.
func (r Response) Body() string { return r.body }

// Closes reports whether the response ends with its connection.
func (r Response) Closes() bool { return r.closes }

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

var invalid = []Response{
	{part: "status 000", text: "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n"},
	{part: "status 099", text: "HTTP/1.1 099 Trouble\r\nContent-Length: 0\r\n\r\n"},
	{part: "status 600", text: "HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "status +20", text: "HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n"},
	{part: "status of two digits", text: "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "two blanks before the status", text: "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "no blank after the status", text: "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "control byte in the reason", text: "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "bare CR in the reason", text: "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "bare LF after the status line", text: "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nhi"},
	{part: "blank in a name", text: "HTTP/1.1 200 OK\r\nX Foo: v\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "blank at a name's end", text: "HTTP/1.1 200 OK\r\nX-Foo : v\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "control byte in a name", text: "HTTP/1.1 200 OK\r\nX-\x01Foo: v\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "empty name", text: "HTTP/1.1 200 OK\r\n: v\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "line without a colon", text: "HTTP/1.1 200 OK\r\nX-Foo\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "folded line", text: "HTTP/1.1 200 OK\r\nX-Foo: a\r\n b\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "control byte in a value", text: "HTTP/1.1 200 OK\r\nX-Foo: a\x7fb\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "bare LF after a field", text: "HTTP/1.1 200 OK\r\nX-Foo: a\nContent-Length: 2\r\n\r\nhi"},
	{part: "blank after Content-Length", text: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhi"},
	{part: "blank after Transfer-Encoding", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
	{part: "two equal lengths", text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "signed length", text: "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nhi"},
	{part: "empty length", text: "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nhi"},
	{part: "length and chunks", text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
	{part: "chunks in HTTP/1.0", text: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
	{part: "another transfer coding", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi"},
	{part: "blank in a name of an interim head", text: "HTTP/1.1 103 Early Hints\r\nX Foo: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "length stated twice in an interim head", text: "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "interim status 000", text: "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
	{part: "blank after a chunk's size", text: chunkedHead + "2 \r\nhi\r\n0\r\n\r\n"},
	{part: "control byte in a chunk's extension", text: chunkedHead + "2;a=\x00\r\nhi\r\n0\r\n\r\n"},
	{part: "chunk without a size", text: chunkedHead + "\r\nhi\r\n0\r\n\r\n"},
	{part: "signed chunk size", text: chunkedHead + "+2\r\nhi\r\n0\r\n\r\n"},
	{part: "chunk longer than its size", text: chunkedHead + "1\r\nhi\r\n0\r\n\r\n"},
	{part: "blank in a name of a trailer", text: chunkedHead + "2\r\nhi\r\n0\r\nX Sum: 1\r\n\r\n"},
	{part: "control byte in a trailer's value", text: chunkedHead + "2\r\nhi\r\n0\r\nX-Sum: \x01\r\n\r\n"},
	{part: "folded trailer", text: chunkedHead + "2\r\nhi\r\n0\r\nX-Sum: 1\r\n 2\r\n\r\n"},
}

// Invalid returns responses that the protocol doesn't have. Each breaks one part.
func Invalid() []Response {
	all := append([]Response{}, invalid...)
	add := func(part, format string, args ...any) {
		all = append(all, Response{part: part, text: fmt.Sprintf(format, args...)})
	}
	for _, status := range []string{"001", "0200", "2000", "2e2", "-20", "", "OK"} {
		add("status "+status, "HTTP/1.1 %s Trouble\r\nContent-Length: 2\r\n\r\nhi", status)
	}
	for _, b := range []string{"\x00", "\r", "\t", "\x7f", "\xe9", "(", "@", "\""} {
		add(fmt.Sprintf("%q in a name", b), "HTTP/1.1 200 OK\r\nX-%sFoo: v\r\nContent-Length: 2\r\n\r\nhi", b)
	}
	for _, b := range []string{"\x00", "\r", "\x01"} {
		add(fmt.Sprintf("%q in a value", b), "HTTP/1.1 200 OK\r\nX-Foo: a%sb\r\nContent-Length: 2\r\n\r\nhi", b)
	}
	add("first line that begins with a blank", "HTTP/1.1 200 OK\r\n X-Foo: v\r\nContent-Length: 2\r\n\r\nhi")
	return all
}

var sound = []Response{
	{part: "status 299", text: "HTTP/1.1 299 Odd\r\nContent-Length: 2\r\n\r\nhi", body: "hi"},
	{part: "status 599", text: "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nhi", body: "hi"},
	{part: "empty reason", text: "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nhi", body: "hi"},
	{part: "reason with bytes above 127", text: "HTTP/1.1 200 d\xe9j\xe0\r\nContent-Length: 2\r\n\r\nhi", body: "hi"},
	{part: "all characters of a name", text: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz: v\r\nContent-Length: 2\r\n\r\nhi", body: "hi"},
	{part: "value with tabs and bytes above 127", text: "HTTP/1.1 200 OK\r\nX-Foo:\ta\tb\xff\x80 \r\nContent-Length: 2\r\n\r\nhi", body: "hi"},
	{part: "empty value", text: "HTTP/1.1 200 OK\r\nX-Foo:\r\nContent-Length: 2\r\n\r\nhi", body: "hi"},
	{part: "blanks around the length", text: "HTTP/1.1 200 OK\r\ncontent-length: \t002\t \r\n\r\nhi", body: "hi"},
	{part: "chunks", text: "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING:  Chunked \r\n\r\n1\r\nh\r\n001;a=\"b\" ;c\r\ni\r\n00\r\n\r\n", body: "hi"},
	{part: "trailers", text: chunkedHead + "2\r\nhi\r\n0\r\nX-Sum: 1\r\nX-End:\r\n\r\n", body: "hi"},
	{part: "interim heads", text: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", body: "hi"},
	{part: "no body", text: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
	{part: "not modified", text: "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n"},
	{part: "no length", text: "HTTP/1.1 200 OK\r\n\r\nhi", body: "hi", closes: true},
	{part: "HTTP/1.0", text: "HTTP/1.0 200 OK\r\n\r\nhi", body: "hi", closes: true},
	{part: "no length, Connection: close", text: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", body: "hi", closes: true},
}

// Sound returns responses that are whole ones.
func Sound() []Response { return append([]Response{}, sound...) }
