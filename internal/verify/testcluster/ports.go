package testcluster

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// The ports of clusters lie below those that the system gives to outgoing connections: a server that is down for a while must
// find its port unused when it restarts.
const (
	minPort         = 12_000
	portCount       = 18_000
	maxPortAttempts = 200
)

var (
	firstPort   = rand.Uint64N(portCount) // so that clusters of other processes seldom try the same ports
	portsProbed atomic.Uint64             // by all calls of freeAddress
)

// freeAddress returns a loopback address that is unused now. No other call in this process gets the same port until all others
// have been tried: between this call and the start of a server at the address, other servers of the cluster start.
func freeAddress(network string) (string, error) {
	var err error
	for range maxPortAttempts {
		port := minPort + (firstPort+portsProbed.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if err = checkListen(network, address); err == nil {
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port: %w", err)
}

// checkListen returns an error if nothing can listen at the address.
func checkListen(network, address string) error {
	var listener io.Closer
	var err error
	if network == "udp" {
		listener, err = net.ListenPacket(network, address)
	} else {
		listener, err = net.Listen(network, address)
	}
	if err != nil {
		return err
	}
	return listener.Close()
}
