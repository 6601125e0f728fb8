package simadapter

import (
	"encoding/binary"
	"math"
)

// fieldReader decodes the fields of a record in order. A field that extends beyond the record sets overrun. This field
// and all fields after it are read as zero.
type fieldReader struct {
	buf     []byte // the part of the record that has not been read
	overrun bool
}

// take returns the next n bytes, or n zero bytes if the record has fewer left.
func (f *fieldReader) take(n int) []byte {
	if f.overrun || n > len(f.buf) {
		f.overrun = true
		return make([]byte, n)
	}
	taken := f.buf[:n]
	f.buf = f.buf[n:]
	return taken
}

func (f *fieldReader) uint8() uint8     { return f.take(1)[0] }
func (f *fieldReader) uint16() uint16   { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fieldReader) uint32() uint32   { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fieldReader) uint64() uint64   { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fieldReader) float32() float32 { return math.Float32frombits(f.uint32()) }
func (f *fieldReader) float64() float64 { return math.Float64frombits(f.uint64()) }

// fits reports whether the record has at least count more elements, each of size bytes, and sets overrun if the record
// has fewer. It must be called before memory is allocated for a count that was read from the record.
func (f *fieldReader) fits(count uint32, size int) bool {
	if uint64(count)*uint64(size) > uint64(len(f.buf)) {
		f.overrun = true
	}
	return !f.overrun
}

// bytes returns the next n bytes, or nil if the record has fewer left.
func (f *fieldReader) bytes(n uint32) []byte {
	if !f.fits(n, 1) {
		return nil
	}
	return f.take(int(n))
}

// report reads a load report: the number of its values, then the values.
func (f *fieldReader) report() []float32 {
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

func (f *fieldReader) placementRequest() PlacementRequest {
	return PlacementRequest{
		Placer: f.uint32(), Task: f.uint32(), Class: f.uint8(), Tenant: f.uint16(), Key: f.uint64(),
		Timeout: f.float64(), RemainingLifetime: f.float64(), Service: f.uint64(),
		Cores: f.float32(), Memory: f.float32(), Flags: f.uint8(),
	}
}

func (f *fieldReader) endpointList() EndpointList {
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
