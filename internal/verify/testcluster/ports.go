package testcluster

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// The ports of clusters are below those that the system assigns to outgoing connections, so that no outgoing connection
// takes the port of a server that is down for a while and then restarts.
const (
	minPort         = 12_000
	portCount       = 18_000
	maxPortAttempts = 200
)

var (
	firstPort   = rand.Uint64N(portCount) // random, so that clusters of other processes seldom try the same ports
	portsProbed atomic.Uint64             // number of ports that freeAddress has tried, in all its calls
)

// freeAddress returns a loopback address that is unused now. Other servers of the cluster may start before the server
// that uses the address does, so no other call in this process returns the same port until all other ports have been
// tried.
func freeAddress(network string) (string, error) {
	var err error
	for range maxPortAttempts {
		port := minPort + (firstPort+portsProbed.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if err = checkListen(network, address); err == nil {
			return address, nil
		}
	}
	return "", fmt.Errorf("no unused %s port in %d attempts: %w", network, maxPortAttempts, err)
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
