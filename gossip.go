package forkhead

import (
	"encoding/binary"
	"math"
	"time"
)

// The form of a capacity message between placers: changes of capacityChangeSize bytes, as many as fit
// into 256 bytes, with amounts as signed counts of 1/amountScale cores or memory units.
const (
	maxMessageSize         = 256
	capacityChangeSize     = 12
	maxChangesPerMessage   = maxMessageSize / capacityChangeSize
	amountScale            = 64
	capacityChangeFraction = capacityChangeSize / float64(maxMessageSize) // of a full message
)

// An outlier message of outlierMessageSize bytes names a machine and a class that it fails.
const (
	outlierMessageSize     = 5
	outlierMessageFraction = outlierMessageSize / float64(maxMessageSize)
)

// capacityChange is capacity that a task takes on a machine, or releases where the amounts are negative.
type capacityChange struct {
	at            time.Duration // when it was received
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

// encodeCapacityChanges encodes changes into as many messages as it takes.
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

// decodeCapacityChanges decodes a message; trailing bytes shorter than a change are ignored.
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

// encodeAmount rounds an amount to the scale and clamps it to what 16 bits hold.
func encodeAmount(amount float64) uint16 {
	return uint16(int16(min(max(math.Round(amount*amountScale), math.MinInt16), math.MaxInt16)))
}

func decodeAmount(encoded []byte) float64 {
	return float64(int16(binary.LittleEndian.Uint16(encoded))) / amountScale
}
