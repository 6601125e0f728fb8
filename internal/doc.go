// Package internal contains the layers of the program. The root package of the Go module, called the module in this
// project, decides each placement. Imports go only from left to right in this diagram:
//
//	cmd -> cli -> verify -> emulator, client -> server -> planning, scheduler -> protocol -> parse -> the module
//
// The doc.go of a layer states what belongs to the layer and which layers it may import. Package simadapter connects
// the module to the simulator and imports only the module. TestImportsFollowLayers checks these rules.
package internal
