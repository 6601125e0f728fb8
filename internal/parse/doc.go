// Package parse is the layer that parses what users write: service specifications, settings and scripts. Each error is
// reported with its position.
//
// The packages of this layer may import the root package, which is the placement module, and one another. All of them are
// pure: they convert text to values, open no file or socket, and read no clock.
package parse
