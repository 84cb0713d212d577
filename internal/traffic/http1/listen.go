package http1

import (
	"context"
	"net"
)

// Endpoint is an address to listen on, and the variable that receives its listener.
type Endpoint struct {
	Listener *net.Listener
	Name     string // purpose of the address
	Address  string // IP:port; empty means no listener
}

// EndpointError reports an address of ListenAll that can't be listened on.
type EndpointError struct {
	Name string
	Err  error
}

func (e *EndpointError) Error() string { return e.Name + ": " + e.Err.Error() }

// Unwrap returns the ListenError.
func (e *EndpointError) Unwrap() error { return e.Err }

// ListenAll listens on all addresses; if one fails it closes the others and returns
// an EndpointError. A process that opens all listeners first fails at its start if
// a port is in use, and not later.
func ListenAll(endpoints ...Endpoint) error {
	for i, e := range endpoints {
		if e.Address == "" {
			continue
		}
		ln, err := Listen(context.Background(), e.Address)
		if err != nil {
			for _, opened := range endpoints[:i] {
				if *opened.Listener != nil {
					_ = (*opened.Listener).Close()
				}
			}
			return &EndpointError{Name: e.Name, Err: err}
		}
		*e.Listener = ln
	}
	return nil
}
