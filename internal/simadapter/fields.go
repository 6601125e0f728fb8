package simadapter

import (
	"encoding/binary"
	"math"
)

// fields takes a record's fields one after the other. The first that overruns the record sets overrun, and all after it are
// zero.
type fields struct {
	buf     []byte // what has not been taken
	overrun bool
}

// take returns the next n bytes, at most 8; zeros where the record has fewer.
func (f *fields) take(n int) []byte {
	if f.overrun || n > len(f.buf) {
		f.overrun = true
		return make([]byte, n)
	}
	taken := f.buf[:n]
	f.buf = f.buf[n:]
	return taken
}

func (f *fields) uint8() uint8     { return f.take(1)[0] }
func (f *fields) uint16() uint16   { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fields) uint32() uint32   { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fields) uint64() uint64   { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fields) float32() float32 { return math.Float32frombits(f.uint32()) }
func (f *fields) float64() float64 { return math.Float64frombits(f.uint64()) }

// fits reports whether the record has count more elements of a size. It sets overrun if not.
func (f *fields) fits(count uint32, size int) bool {
	if uint64(count)*uint64(size) > uint64(len(f.buf)) {
		f.overrun = true
	}
	return !f.overrun
}

// bytes returns the next n bytes, or nil where the record has fewer.
func (f *fields) bytes(n uint32) []byte {
	if !f.fits(n, 1) {
		return nil
	}
	return f.take(int(n))
}

// report takes the number of a load report's values and the values.
func (f *fields) report() []float32 {
	n := f.uint8()
	if !f.fits(uint32(n), 4) {
		return nil
	}
	var values []float32
	for range n {
		values = append(values, f.float32())
	}
	return values
}

func (f *fields) placementRequest() PlacementRequest {
	return PlacementRequest{
		Placer: f.uint32(), Task: f.uint32(), Class: f.uint8(), Tenant: f.uint16(), Key: f.uint64(),
		Timeout: f.float64(), RemainingLifetime: f.float64(), Service: f.uint64(),
		Cores: f.float32(), Memory: f.float32(), Flags: f.uint8(),
	}
}

func (f *fields) endpointList() EndpointList {
	list := EndpointList{Number: f.uint8()}
	n := f.uint32()
	if !f.fits(n, machineSize) {
		return list
	}
	list.Machines = make([]Machine, n)
	for i := range list.Machines {
		list.Machines[i] = Machine{
			StartedAt: f.float64(), ID: f.uint32(), AvailableCores: f.float32(), AvailableMemory: f.float32(),
			State: f.uint8(), Type: f.uint8(), Weight: f.float32(), Zone: f.uint16(), Cell: f.uint16(),
		}
	}
	return list
}
