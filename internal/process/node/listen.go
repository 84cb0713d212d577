package node

import (
	"net"
	"net/netip"
)

// listeners are the addresses that the node serves on; all are open before
// anything runs, so that a taken port ends the start and not a running node.
type listeners struct{ callers, mesh, peers, operators, admin net.Listener }

func (n *Node) listen() error {
	for _, l := range []struct {
		to         *net.Listener
		name, addr string
	}{
		{&n.listeners.callers, "callers", n.cfg.callers},
		{&n.listeners.mesh, "mesh", n.cfg.mesh},
		{&n.listeners.peers, "peers", n.cfg.peers},
		{&n.listeners.operators, "operators", n.cfg.operators},
		{&n.listeners.admin, "admin", n.cfg.admin},
	} {
		if l.addr == "" {
			continue
		}
		ln, err := listen(l.name, l.addr)
		if err != nil {
			return err
		}
		*l.to = ln
	}
	return nil
}

func (n *Node) closeListeners() {
	l := n.listeners
	for _, ln := range []net.Listener{l.callers, l.mesh, l.peers, l.operators, l.admin} {
		if ln != nil {
			ln.Close()
		}
	}
}

// addrOf returns where others reach a listener.
func addrOf(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }

// told returns the address that others are told for a listener. The settings
// have been checked, so an advertised one can be read.
func told(advertised string, ln net.Listener) netip.AddrPort {
	if a, err := netip.ParseAddrPort(advertised); err == nil {
		return a
	}
	return addrOf(ln)
}
