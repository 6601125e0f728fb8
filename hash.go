package forkhead

// Each use of a service's hash has a salt of its own, so that the hashes for different uses are independent.
const (
	saltSizeOffset  = 0x51ce
	saltMachineType = 0x2b1d
)

// hash64 is a hash that is the same at every placer (the finalizer of splitmix64).
func hash64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to [0, 1).
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// rank is the sort key of the machine for a service; it is the same at every placer.
func (m *machine) rank(service uint64) uint64 { return hash64(service ^ m.hash) }

// programID is the short id of a service's program in gossip messages.
func programID(service uint64) uint32 { return uint32(hash64(service)) }
