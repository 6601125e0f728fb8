// Package platform is the socket shell of the emulators of the users' platform: it runs a platformmodel.Emulator on
// loopback TCP, for placers in this process or in others.
//
// Each listener of the Emulator is a socket for each placer, at a loopback address of that placer's own (127.0.0.1, 127.0.0.2,
// ...) and one port. No socket is reachable from outside the machine.
//
// One goroutine, the event loop, steps the Emulator and executes its outputs. Each listening socket has a goroutine that
// accepts, each connection one that reads and one that writes; what happens there reaches the loop as jobs.
//
//	server.go          the event loop, and what its user may call
//	address.go         the loopback addresses of placers
//	listener.go        listeners
//	listenersocket.go  a listener's socket for one placer, which can be made to answer nothing
//	connection.go      connections, which can be made to read nothing
//
// The package is for Linux. It relies there on what other systems do otherwise:
//   - All of 127.0.0.0/8 is local without being configured: addresses of placers from the second on, and of connections that
//     fill an accept queue.
//   - A second listen(2) changes the length of an accept queue; one of length 0 has room for one connection; with a full one,
//     the kernel drops attempts to connect instead of refusing them (and net.ipv4.tcp_abort_on_overflow is off).
//
// Its tests also run server/platform, which builds for Linux only.
package platform
