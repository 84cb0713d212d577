// Package message reads HTTP/1.1 responses from connections on which a request may still be written.
package message
