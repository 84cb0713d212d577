package node

import (
	"errors"
	"net"
	"net/netip"

	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// listeners are the node's listening sockets. All are opened before any
// component starts, so that a port in use fails the start.
type listeners struct{ callers, mesh, peers, operators, admin net.Listener }

func (n *Node) listen() error {
	err := http1.ListenAll(
		http1.Endpoint{Listener: &n.listeners.callers, Name: "callers", Address: n.cfg.callers},
		http1.Endpoint{Listener: &n.listeners.mesh, Name: "mesh", Address: n.cfg.mesh},
		http1.Endpoint{Listener: &n.listeners.peers, Name: "peers", Address: n.cfg.peers},
		http1.Endpoint{Listener: &n.listeners.operators, Name: "operators", Address: n.cfg.operators},
		http1.Endpoint{Listener: &n.listeners.admin, Name: "admin", Address: n.cfg.admin},
	)
	var endpointErr *http1.EndpointError
	if errors.As(err, &endpointErr) {
		return &SettingError{endpointErr.Name, endpointErr.Err.Error()}
	}
	return err
}

func (n *Node) closeListeners() {
	l := n.listeners
	for _, ln := range []net.Listener{l.callers, l.mesh, l.peers, l.operators, l.admin} {
		if ln != nil {
			ln.Close()
		}
	}
}

// addrOf returns the local address of a TCP listener.
func addrOf(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }

// advertisedAddr returns the address that the node announces for a listener:
// advertised if it is set, else the listener's own. Check has already rejected
// settings that do not parse.
func advertisedAddr(advertised string, ln net.Listener) netip.AddrPort {
	if a, err := netip.ParseAddrPort(advertised); err == nil {
		return a
	}
	return addrOf(ln)
}
