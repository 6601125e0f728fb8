// Package hostport splits and joins addresses of the form HOST:PORT. It does not use package net, so that pure packages,
// which must not import net, can check the addresses in a file or an endpoint list.
package hostport

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrFormat means that an address is not of the form HOST:PORT, or [HOST]:PORT if HOST contains colons.
var ErrFormat = errors.New("not of the form HOST:PORT")

// Split returns the host, without brackets, and the port of an address. The port is from 0 to 65535.
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

// Join returns the address of a host and a port, with the host in brackets if it contains colons.
func Join(host string, port int) string {
	if strings.Contains(host, ":") {
		host = "[" + host + "]"
	}
	return host + ":" + strconv.Itoa(port)
}
