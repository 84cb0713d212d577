// Package responder stands in for servers whose responses are not those of the protocol, in tests of
// the clients that read them.
package responder
