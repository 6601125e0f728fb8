// Package parse is the layer that parses what users write: service specifications, settings and scripts. Each error is
// reported with its position.
//
// Its packages may import the module and each other. All of them are pure: text in, values out; they open no file or
// socket and read no clock.
package parse
