// Package reading is the wing of what users write: descriptions, settings and scripts are read here, with the place
// of each error.
//
// It may import the module and its own packages. All of it is pure.
package reading
