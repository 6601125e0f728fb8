// Package platform is the socket shell of the emulators of the users' platform: it runs a platformmodel.Emulator on
// loopback TCP, for placers in this process or in others.
//
// One goroutine, the event loop, steps the Emulator and executes its outputs. Each listener has a goroutine that accepts,
// each connection one that reads and one that writes; what happens there reaches the loop as jobs.
//
//	server.go      the event loop, and what its user may call
//	listener.go    listeners, which can be made to answer nothing
//	connection.go  connections, which can be made to read nothing
package platform
