package platform

import (
	"encoding/binary"
	"net"
	"net/netip"
)

// maxPlacers is how many placers have an address each. The last one's is 127.0.255.254.
const maxPlacers = 1<<16 - 2

// Addresses of the loopback. Each placer reaches the listeners at one of its own, so that they know which placer has
// connected: placer 0 at the first, placer 1 at the next.
var (
	firstPlacerIP = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	fillerIP      = netip.AddrFrom4([4]byte{127, 1, 0, 1}) // where connections come from that fill an accept queue
)

// placerIP returns the address at which a placer, below maxPlacers, reaches all listeners.
func placerIP(placer int) netip.Addr {
	ip := firstPlacerIP.As4()
	number := binary.BigEndian.Uint32(ip[:]) + uint32(placer)
	binary.BigEndian.PutUint32(ip[:], number)
	return netip.AddrFrom4(ip)
}

// addressFor returns the address at which a placer reaches a listener.
func addressFor(placer int, address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(placerIP(placer).String(), port)
}

// addrPort returns the address of a TCP socket.
func addrPort(address net.Addr) netip.AddrPort {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), tcp.AddrPort().Port())
}
