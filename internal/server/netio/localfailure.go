package netio

import (
	"errors"
	"net"
	"syscall"
)

// localFailures are errors of system calls that are caused by this process or its machine rather than by a peer.
var localFailures = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN, net.ErrClosed,
}

// IsLocalFailure reports whether an error of a dial, or of opening a connection, shows nothing about the peer, because
// this process or its machine lacks a resource, its network is down, or the engine is stopping.
func IsLocalFailure(err error) bool {
	for _, failure := range localFailures {
		if errors.Is(err, failure) {
			return true
		}
	}
	return false
}
