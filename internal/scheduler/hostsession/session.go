package hostsession

// Session is the last known session of a placer with a host.
type Session struct {
	Epoch     uint64 // epoch of the placer's incarnation; 0 if none is known
	Conn      uint32 // the placer's number of the connection, valid while Connected
	Connected bool   // whether the connection is open at the host
}

// HelloResult is how a host answers a Hello.
type HelloResult uint8

// The results of a Hello.
const (
	// HelloAccepted means that the host sends a Welcome and closes an older connection of the placer, if there is one.
	HelloAccepted HelloResult = iota
	// HelloStale means that the host knows a later incarnation of the placer, or a later connection of the same
	// incarnation, and closes the new connection.
	HelloStale
)

// CheckHello decides whether a host accepts a Hello. The parameter epoch is the epoch of the placer's incarnation, conn
// the number that this incarnation gave the connection, and last the last known session of the same placer. A later
// connection replaces an earlier one, since messages of the earlier one may still arrive from buffers.
func CheckHello(last Session, epoch uint64, conn uint32) HelloResult {
	if epoch < last.Epoch || last.Connected && epoch == last.Epoch && conn <= last.Conn {
		return HelloStale
	}
	return HelloAccepted
}
