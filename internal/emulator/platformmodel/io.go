package platformmodel

// ListenerID identifies a listener of an Emulator; the first one is 1.
type ListenerID uint64

// Input is an event on the network, or a command to the Emulator.
type Input interface{ input() }

// The inputs of an Emulator.
type (
	// ListenerOpened reports the address at which a listener is open after an OpenListener.
	ListenerOpened struct {
		Listener ListenerID
		Address  string
	}
	// Begin starts the run: the times of requests and faults count from this input. The listeners that the first Step
	// opens must be open.
	Begin struct{}
	// Accepted reports that a listener has accepted a connection of a placer. The number of the connection comes from
	// NewConnID.
	Accepted struct {
		Listener ListenerID
		Conn     ConnID
		Placer   int
	}
	// Connected reports that a Dial has succeeded.
	Connected struct{ Conn ConnID }
	// Disconnected reports that a Dial has failed, or that the placer has closed or reset a connection.
	Disconnected struct{ Conn ConnID }
	// Data carries bytes received on a connection. The Emulator retains Bytes.
	Data struct {
		Conn  ConnID
		Bytes []byte
	}
	// PlacerStarted reports that a placer accepts connections.
	PlacerStarted struct{ Placer int }
	// PlacerStopped reports that a placer has exited.
	PlacerStopped struct{ Placer int }
)

func (ListenerOpened) input() {}
func (Begin) input()          {}
func (Accepted) input()       {}
func (Connected) input()      {}
func (Disconnected) input()   {}
func (Data) input()           {}
func (PlacerStarted) input()  {}
func (PlacerStopped) input()  {}

// Output is an operation that the caller of Emulator.Step must perform.
type Output interface{ output() }

// The outputs of an Emulator, to be performed in order.
type (
	// OpenListener opens a listener at an address, or at any free one if Address is empty. The input ListenerOpened
	// must follow.
	OpenListener struct {
		Listener ListenerID
		Address  string
	}
	// CloseListener closes a listener, so that connections to its address are refused.
	CloseListener struct{ Listener ListenerID }
	// StopAccepting makes a listener neither accept nor refuse connections: connection attempts get no answer.
	StopAccepting struct{ Listener ListenerID }
	// ResumeAccepting makes a listener accept connections again after StopAccepting.
	ResumeAccepting struct{ Listener ListenerID }
	// Dial connects to a placer. The input Connected or Disconnected must follow.
	Dial struct {
		Conn   ConnID
		Placer int
	}
	// Write writes bytes to a connection.
	Write struct {
		Conn  ConnID
		Bytes []byte
	}
	// CloseConnection closes a connection after the bytes of all earlier Writes have been sent.
	CloseConnection struct{ Conn ConnID }
	// ResetConnection resets a connection; unsent bytes may be lost.
	ResetConnection struct{ Conn ConnID }
	// StopReading stops reading from a connection. Bytes that were read before may still arrive as Data.
	StopReading struct{ Conn ConnID }
	// ResumeReading makes a connection read again after StopReading.
	ResumeReading struct{ Conn ConnID }
)

func (OpenListener) output()    {}
func (CloseListener) output()   {}
func (StopAccepting) output()   {}
func (ResumeAccepting) output() {}
func (Dial) output()            {}
func (Write) output()           {}
func (CloseConnection) output() {}
func (ResetConnection) output() {}
func (StopReading) output()     {}
func (ResumeReading) output()   {}
