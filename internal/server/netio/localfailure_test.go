package netio

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// An error of a dial is local unless it can come from the peer or from the way to it.
func TestIsLocalFailureOfDial(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true, syscall.EADDRNOTAVAIL: true,
		syscall.ENETUNREACH: true, syscall.ECONNABORTED: true, syscall.EINTR: true, syscall.EAGAIN: true,
		syscall.ECONNREFUSED: false, syscall.ECONNRESET: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false,
	} {
		err := fmt.Errorf("dial: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)})
		if got := IsLocalFailure(err); got != want {
			t.Errorf("IsLocalFailure(%v) = %v, want %v", err, got, want)
		}
	}
	if !IsLocalFailure(net.ErrClosed) {
		t.Errorf("IsLocalFailure(%v) = false, want true", net.ErrClosed)
	}
}
