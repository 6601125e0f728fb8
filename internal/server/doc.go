// Package server is the layer of the I/O shells: sockets, timers, goroutines and the clock. They execute what the cores
// decide, and decide nothing.
//
// It may import parse, protocol, scheduler and planning.
package server
