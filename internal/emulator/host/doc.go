// Package host is an emulator of a host on TCP sockets. Package hostmodel decides what the host does. This package
// transfers frames between the model and the placers, calls the model when an action is due, registers the host in
// Consul's catalog, records its traffic, and injects faults into its connections for tests.
//
//	server.go        the server: its incarnations, its event loop and its listener
//	connection.go    connections of placers
//	registration.go  registration in Consul's catalog
//	faults.go        faults that tests inject
package host
