package caller

import (
	"strings"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

const (
	keyHeader = "X-Api-Key"
	bearer    = "Bearer "
)

// identify finds the organisation that the call is made for.
//
// A call by a target belongs to the call that the target was running, and so
// to that call's organisation, whatever key it shows besides: otherwise trial
// work would take promised capacity one call further down.
func (c *call) identify() error {
	if c.snap.Version() == 0 {
		// A node that has just started knows no key. "Unknown key" would be
		// final to the caller, though another node would serve it.
		return &NoConfigurationError{}
	}
	if sealed := c.r.Header.Get(hop.CallHeader); sealed != "" {
		return c.inherit(sealed)
	}
	if c.h.open != nil {
		c.org = *c.h.open
		return nil
	}
	key := c.r.Header.Get(keyHeader)
	header := keyHeader
	if key == "" {
		auth := c.r.Header.Get("Authorization")
		if len(auth) < len(bearer) || !strings.EqualFold(auth[:len(bearer)], bearer) {
			return &UnauthenticatedError{}
		}
		key, header = auth[len(bearer):], "Authorization"
	}
	org, ok := c.snap.Identify(key)
	if !ok {
		return &UnauthenticatedError{Shown: true}
	}
	// The key is between the caller and this system; a target that saw it
	// could make calls as the caller.
	c.r.Header.Del(header)
	c.org = org
	return nil
}

func (c *call) inherit(sealed string) error {
	parent, err := c.h.sealer.Open(sealed)
	if err != nil {
		return err
	}
	c.parent = &parent
	c.r.Header.Del(keyHeader)
	// The class is the parent's: a version that came between may have another,
	// and one call should have one class all the way down.
	c.org = snapshot.NewOrganisation(parent.Organisation(), parent.Class())
	return nil
}
