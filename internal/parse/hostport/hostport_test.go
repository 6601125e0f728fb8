package hostport

import (
	"net"
	"strconv"
	"testing"
)

// Addresses are split in the same way as by the socket library.
func TestSplit(t *testing.T) {
	for _, good := range []string{"127.0.0.1:80", "[::1]:7070", "host.example:0", ":65535"} {
		host, port, err := Split(good)
		wantHost, wantPort, wantErr := net.SplitHostPort(good)
		if err != nil || wantErr != nil || host != wantHost || strconv.Itoa(port) != wantPort || Join(host, port) != good {
			t.Errorf("%s: %q %d %v; want %q %s %v", good, host, port, err, wantHost, wantPort, wantErr)
		}
	}
	for _, bad := range []string{"", "host", "::1:80", "[::1:80", "host:http", "host:65536", "host:-1", "a]:1"} {
		if host, port, err := Split(bad); err == nil {
			t.Errorf("%q was taken as %q and %d", bad, host, port)
		}
	}
}
