// Package host emulates a host on sockets. Package hostmodel decides what the host does; this package carries frames
// between it and its placers, keeps the time, registers the host with Consul's catalog, captures its traffic, and does to
// its connections what a test injects.
package host
