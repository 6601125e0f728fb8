package platform

import (
	"encoding/binary"
	"net"
	"net/netip"
)

// maxPlacers is the number of loopback addresses for placers. The last placer's address is 127.0.255.254.
const maxPlacers = 1<<16 - 2

// Loopback addresses. Each placer connects to the listeners at an address of its own, so that a listener knows which
// placer has connected: placer 0 at firstPlacerIP, placer 1 at the next address, and so on.
var (
	firstPlacerIP = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	fillerIP      = netip.AddrFrom4([4]byte{127, 1, 0, 1}) // source address of connections that fill an accept queue
)

// placerIP returns the address at which a placer connects to the listeners. placer must be below maxPlacers.
func placerIP(placer int) netip.Addr {
	ip := firstPlacerIP.As4()
	number := binary.BigEndian.Uint32(ip[:]) + uint32(placer)
	binary.BigEndian.PutUint32(ip[:], number)
	return netip.AddrFrom4(ip)
}

// addressFor returns the address at which a placer connects to the listener with the given address.
func addressFor(placer int, address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(placerIP(placer).String(), port)
}

// addrPort returns the address of a TCP socket as an AddrPort, or the zero AddrPort if it is not the address of a TCP
// socket.
func addrPort(address net.Addr) netip.AddrPort {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), tcp.AddrPort().Port())
}
