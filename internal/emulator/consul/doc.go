// Package consul is an emulator of Consul for tests and trial runs. It implements the part of Consul's HTTP API that
// hosts and placers use. Tests can make it answer with a lag, answer with stale data, or fail.
//
//	store.go   the registered hosts and the versions of the endpoint list
//	server.go  the HTTP server for the store
package consul
