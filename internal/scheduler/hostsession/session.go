package hostsession

// Session is the last session of a placer with a host.
type Session struct {
	Epoch     uint64 // of the placer's incarnation; 0: none known
	Conn      uint32 // the placer's number of the connection, while Connected
	Connected bool   // the connection is open at the host
}

// HelloResult is how a host answers a Hello.
type HelloResult uint8

// The results.
const (
	HelloAccepted HelloResult = iota // a Welcome is sent, and an older connection of the placer is closed
	HelloStale                       // a later incarnation, or a later connection of this one, is known: the new connection is closed
)

// CheckHello decides on a Hello of an incarnation, on one of its numbered connections, by the last session of the same
// placer. Of two connections the later one counts, since messages may still be in the buffers of the older.
func CheckHello(last Session, epoch uint64, conn uint32) HelloResult {
	if epoch < last.Epoch || last.Connected && epoch == last.Epoch && conn <= last.Conn {
		return HelloStale
	}
	return HelloAccepted
}
