package hostsession

import "testing"

func TestCheckHelloRejectsEarlierIncarnationsAndConns(t *testing.T) {
	connected := Session{Epoch: 5, Conn: 3, Connected: true}
	disconnected := Session{Epoch: 5, Conn: 3}
	for _, c := range []struct {
		last  Session
		epoch uint64
		conn  uint32
		want  HelloResult
	}{
		{connected, 5, 4, HelloAccepted},
		{connected, 6, 1, HelloAccepted},
		{connected, 5, 3, HelloStale},
		{connected, 5, 2, HelloStale},
		{connected, 4, 9, HelloStale},
		{disconnected, 5, 1, HelloAccepted},
		{disconnected, 4, 9, HelloStale},
	} {
		if got := CheckHello(c.last, c.epoch, c.conn); got != c.want {
			t.Errorf("CheckHello(%+v, %d, %d) = %v, want %v", c.last, c.epoch, c.conn, got, c.want)
		}
	}
}
