package durable

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// FormatVersion is the version of the format of stored values. Values of this version and of earlier ones can be read,
// values of later versions cannot.
const FormatVersion = 1

// A stored value consists of a version byte, the big-endian CRC-32C of the version and the text, and the text.
const (
	checksumOffset = 1
	headerBytes    = checksumOffset + crc32.Size
)

// Errors of DecodeValue. Their texts are part of the messages in Snapshot.Unreadable, which recorded runs contain.
var (
	// ErrChecksum means that the checksum of a value does not match, or that the value is too short to have one.
	ErrChecksum = errors.New("the checksum does not hold")
	// ErrNewerVersion means that a later version of the program wrote the value.
	ErrNewerVersion = errors.New("it is of a later version of this program")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// EncodeValue returns the stored form of a text.
func EncodeValue(text []byte) []byte {
	value := make([]byte, headerBytes, headerBytes+len(text))
	value[0] = FormatVersion
	value = append(value, text...)
	binary.BigEndian.PutUint32(value[checksumOffset:], checksum(value))
	return value
}

// DecodeValue returns the text of a stored value, which aliases the value, and the version of the value's format. The
// error is nil, ErrChecksum or ErrNewerVersion.
func DecodeValue(value []byte) (text []byte, version int, err error) {
	if len(value) < headerBytes || binary.BigEndian.Uint32(value[checksumOffset:]) != checksum(value) {
		return nil, 0, ErrChecksum
	}
	version = int(value[0])
	if version > FormatVersion {
		return nil, version, ErrNewerVersion
	}
	return value[headerBytes:], version, nil
}

// checksum returns the CRC-32C of the version and the text of a stored value.
func checksum(value []byte) uint32 {
	sum := crc32.Checksum(value[:checksumOffset], castagnoli)
	return crc32.Update(sum, castagnoli, value[headerBytes:])
}
