package forkhead

import (
	"encoding/binary"
	"math"
	"time"
)

// The format of a capacity message between placers: changes of capacityChangeSize bytes each, as many as fit
// into 256 bytes, with amounts as signed multiples of 1/amountScale cores or memory units.
const (
	maxMessageSize         = 256
	capacityChangeSize     = 12
	maxChangesPerMessage   = maxMessageSize / capacityChangeSize
	amountScale            = 64
	capacityChangeFraction = capacityChangeSize / float64(maxMessageSize) // share of a full message that one change takes
)

// The format of an outlier message: the id of a machine and a class of tasks that fail on it.
const (
	outlierMessageSize     = 5
	outlierMessageFraction = outlierMessageSize / float64(maxMessageSize)
)

// capacityChange is a change of the capacity that a task takes on a machine. The amounts are positive if the capacity
// is reserved, and negative if it is released.
type capacityChange struct {
	at            time.Duration // when this placer received the change
	program       uint32
	machine       MachineID
	cores, memory float64
}

func encodeOutlier(id MachineID, class int) []byte {
	return append(binary.LittleEndian.AppendUint32(nil, uint32(id)), byte(class))
}

func decodeOutlier(message []byte) (id MachineID, class int, ok bool) {
	if len(message) != outlierMessageSize {
		return 0, 0, false
	}
	return MachineID(binary.LittleEndian.Uint32(message)), int(message[4]), true
}

// encodeCapacityChanges encodes changes into as many messages as needed.
func encodeCapacityChanges(changes []capacityChange) [][]byte {
	var messages [][]byte
	for len(changes) > 0 {
		n := min(len(changes), maxChangesPerMessage)
		var message []byte
		for _, change := range changes[:n] {
			message = binary.LittleEndian.AppendUint32(message, change.program)
			message = binary.LittleEndian.AppendUint32(message, uint32(change.machine))
			message = binary.LittleEndian.AppendUint16(message, encodeAmount(change.cores))
			message = binary.LittleEndian.AppendUint16(message, encodeAmount(change.memory))
		}
		messages = append(messages, message)
		changes = changes[n:]
	}
	return messages
}

// decodeCapacityChanges decodes a message. It ignores trailing bytes that are shorter than a change.
func decodeCapacityChanges(message []byte) []capacityChange {
	var changes []capacityChange
	for ; len(message) >= capacityChangeSize; message = message[capacityChangeSize:] {
		changes = append(changes, capacityChange{
			program: binary.LittleEndian.Uint32(message),
			machine: MachineID(binary.LittleEndian.Uint32(message[4:])),
			cores:   decodeAmount(message[8:]),
			memory:  decodeAmount(message[10:]),
		})
	}
	return changes
}

// encodeAmount rounds an amount to a multiple of 1/amountScale and clamps it to 16 bits.
func encodeAmount(amount float64) uint16 {
	return uint16(int16(min(max(math.Round(amount*amountScale), math.MinInt16), math.MaxInt16)))
}

func decodeAmount(encoded []byte) float64 {
	return float64(int16(binary.LittleEndian.Uint16(encoded))) / amountScale
}
