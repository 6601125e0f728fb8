// Package server holds the layer that does the I/O: sockets, timers, goroutines and the clock. Its packages execute the
// outputs of the cores and make no placement decisions themselves.
//
// Its packages may import those of the layers parse, protocol, scheduler and planning.
package server
