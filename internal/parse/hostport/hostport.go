// Package hostport splits and joins addresses of the form HOST:PORT, without a socket library:
// what reads a file or a list must be able to check how one is written.
package hostport

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrFormat means that an address has not the form HOST:PORT, or [HOST]:PORT where HOST holds colons.
var ErrFormat = errors.New("not of the form HOST:PORT")

// Split takes an address apart. The port is from 0 to 65535.
func Split(address string) (host string, port int, err error) {
	i := strings.LastIndexByte(address, ':')
	if i < 0 {
		return "", 0, fmt.Errorf("%q: %w", address, ErrFormat)
	}
	host = address[:i]
	if inner, ok := strings.CutPrefix(host, "["); ok {
		if host, ok = strings.CutSuffix(inner, "]"); !ok {
			return "", 0, fmt.Errorf("%q: %w", address, ErrFormat)
		}
	} else if strings.ContainsAny(host, ":]") {
		return "", 0, fmt.Errorf("%q: %w", address, ErrFormat)
	}
	n, err := strconv.ParseUint(address[i+1:], 10, 16)
	if err != nil {
		return "", 0, fmt.Errorf("%q: the port is not a number from 0 to 65535", address)
	}
	return host, int(n), nil
}

// Join returns the address of a host and a port, with the host in brackets where it has colons.
func Join(host string, port int) string {
	if strings.Contains(host, ":") {
		host = "[" + host + "]"
	}
	return host + ":" + strconv.Itoa(port)
}
