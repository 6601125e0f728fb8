// Package parse is the layer of what users write: service descriptions, settings and scripts are parsed here, with the
// position of each error.
//
// It may import the module and its own packages. All of it is pure.
package parse
