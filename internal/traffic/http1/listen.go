package http1

import (
	"context"
	"net"
)

// Place is an address to listen at, and where its listener goes.
type Place struct {
	To      *net.Listener
	Name    string // what the address is for
	Address string // IP:port, or "" for none
}

// PlaceError tells of a place that can't be listened at.
type PlaceError struct {
	Name string
	Err  error
}

func (e *PlaceError) Error() string { return e.Name + ": " + e.Err.Error() }

// Unwrap returns the ListenError.
func (e *PlaceError) Unwrap() error { return e.Err }

// ListenAll listens at all places, or at none and returns a PlaceError: a port that
// is taken ends a start and not a running process.
func ListenAll(places ...Place) error {
	for i, p := range places {
		if p.Address == "" {
			continue
		}
		ln, err := Listen(context.Background(), p.Address)
		if err != nil {
			for _, opened := range places[:i] {
				if *opened.To != nil {
					_ = (*opened.To).Close()
				}
			}
			return &PlaceError{Name: p.Name, Err: err}
		}
		*p.To = ln
	}
	return nil
}
