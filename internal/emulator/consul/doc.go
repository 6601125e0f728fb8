// Package consul is an emulator of Consul for tests and trials: as much of its HTTP API as hosts and placers use, with
// lag, outages and stale answers on command.
//
//	store.go   what is registered, and what is answered as of a moment
//	server.go  the store behind HTTP
package consul
