package hostport

import (
	"net"
	"strconv"
	"testing"
)

// TestSplitAgreesWithNet checks that addresses are split as by net.SplitHostPort, and that Join reverses Split.
func TestSplitAgreesWithNet(t *testing.T) {
	for _, good := range []string{"127.0.0.1:80", "[::1]:7070", "host.example:0", ":65535"} {
		host, port, err := Split(good)
		wantHost, wantPort, wantErr := net.SplitHostPort(good)
		if err != nil || wantErr != nil || host != wantHost || strconv.Itoa(port) != wantPort || Join(host, port) != good {
			t.Errorf("Split(%q) = %q, %d, error %v, and Join of these = %q; want %q, %s, error %v as from net.SplitHostPort, and the same address",
				good, host, port, err, Join(host, port), wantHost, wantPort, wantErr)
		}
	}
	for _, bad := range []string{"", "host", "::1:80", "[::1:80", "host:http", "host:65536", "host:-1", "a]:1"} {
		if host, port, err := Split(bad); err == nil {
			t.Errorf("Split(%q) = %q, %d, error nil, want an error", bad, host, port)
		}
	}
}
