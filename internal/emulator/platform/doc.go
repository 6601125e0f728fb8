// Package platform runs the emulators of the users' platform, a platformmodel.Emulator, on loopback TCP sockets, for
// placers in this process or in other processes.
//
// Each listener of the Emulator has a listening socket for each placer. All sockets of a listener have the same port.
// Each placer has a loopback address of its own (127.0.0.1, 127.0.0.2, ...). No socket is reachable from outside the
// machine.
//
// The goroutine of the event loop steps the Emulator and executes its outputs. Each listening socket has a goroutine
// that accepts connections, and each connection has one that reads and one that writes. They pass events to the event
// loop as jobs.
//
//	server.go          the server and its event loop
//	address.go         the loopback addresses of placers
//	listener.go        listeners
//	listenersocket.go  a listener's socket for one placer, which can be made to ignore connection attempts
//	connection.go      connections, which can be made to stop reading
//
// The package works only on Linux, because it depends on these properties of Linux:
//   - All addresses of 127.0.0.0/8 are local without being configured. The placers from the second on, and the
//     connections that fill an accept queue, use such addresses.
//   - A second listen(2) changes the length of an accept queue. A queue of length 0 has room for one connection. While a
//     queue is full, the kernel drops connection attempts instead of refusing them, as long as
//     net.ipv4.tcp_abort_on_overflow is off.
//
// The tests of the package also need Linux because they run server/platform, which builds for Linux only.
package platform
