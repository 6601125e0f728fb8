package forkhead

import (
	"encoding/binary"
	"math"
)

// The form of a message between placers: items of newsSize bytes, newsItems of them
// within 256 bytes, with amounts as signed counts of 1/newsScale.
const (
	newsSize  = 12
	newsItems = 21
	newsScale = 64
	newsShare = newsSize / 256. // of a full message
)

// A message of ailSize bytes names a machine and a class that it fails at.
const (
	ailSize  = 5
	ailShare = ailSize / 256.
)

func packAil(id MachineID, class int) []byte {
	return append(binary.LittleEndian.AppendUint32(nil, uint32(id)), byte(class))
}

func unpackAil(data []byte) (id MachineID, class int, ok bool) {
	if len(data) != ailSize {
		return 0, 0, false
	}
	return MachineID(binary.LittleEndian.Uint32(data)), int(data[4]), true
}

// packNews writes news into as many messages as it takes.
func packNews(items []news) [][]byte {
	var messages [][]byte
	for len(items) > 0 {
		n := min(len(items), newsItems)
		var data []byte
		for _, item := range items[:n] {
			data = binary.LittleEndian.AppendUint32(data, item.program)
			data = binary.LittleEndian.AppendUint32(data, uint32(item.machine))
			data = binary.LittleEndian.AppendUint16(data, packAmount(item.cores))
			data = binary.LittleEndian.AppendUint16(data, packAmount(item.memory))
		}
		messages = append(messages, data)
		items = items[n:]
	}
	return messages
}

// unpackNews reads a message; a rest shorter than an item is passed over.
func unpackNews(data []byte) []news {
	var items []news
	for ; len(data) >= newsSize; data = data[newsSize:] {
		items = append(items, news{
			program: binary.LittleEndian.Uint32(data),
			machine: MachineID(binary.LittleEndian.Uint32(data[4:])),
			cores:   unpackAmount(data[8:]),
			memory:  unpackAmount(data[10:]),
		})
	}
	return items
}

func packAmount(amount float64) uint16 {
	return uint16(int16(min(max(math.Round(amount*newsScale), math.MinInt16), math.MaxInt16)))
}

func unpackAmount(word []byte) float64 {
	return float64(int16(binary.LittleEndian.Uint16(word))) / newsScale
}
