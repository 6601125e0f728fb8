package platformmodel

// ListenerID numbers a listener of an Emulator, from 1 on.
type ListenerID uint64

// Input is something that has happened on the network.
type Input interface{ input() }

// The inputs.
type (
	// ListenerOpened answers an OpenListener with the address that the listener has.
	ListenerOpened struct {
		Listener ListenerID
		Address  string
	}
	// Begin starts the run: requests and faults count from now. All listeners of the start must have been opened.
	Begin struct{}
	// Accepted says that a listener has accepted a connection, numbered by NewConnID, of a placer.
	Accepted struct {
		Listener ListenerID
		Conn     ConnID
		Placer   int
	}
	// Connected says that a Dial has succeeded.
	Connected struct{ Conn ConnID }
	// Disconnected says that a Dial has failed, or that the placer has ended a connection.
	Disconnected struct{ Conn ConnID }
	// Data brings bytes, which the Emulator keeps.
	Data struct {
		Conn  ConnID
		Bytes []byte
	}
	// PlacerStarted says that a placer accepts connections.
	PlacerStarted struct{ Placer int }
	// PlacerStopped says that a placer has ended.
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

// Output is something that the shell is to do.
type Output interface{ output() }

// The outputs, to be executed in their order.
type (
	// OpenListener listens at an address, or at any if that is empty; ListenerOpened follows.
	OpenListener struct {
		Listener ListenerID
		Address  string
	}
	// CloseListener closes a listener: connections are refused.
	CloseListener struct{ Listener ListenerID }
	// StopAccepting makes a listener neither accept connections nor refuse them.
	StopAccepting struct{ Listener ListenerID }
	// ResumeAccepting ends that.
	ResumeAccepting struct{ Listener ListenerID }
	// Dial connects to a placer; Connected or Disconnected follows.
	Dial struct {
		Conn   ConnID
		Placer int
	}
	// Write writes bytes.
	Write struct {
		Conn  ConnID
		Bytes []byte
	}
	// CloseConnection closes a connection after what was written.
	CloseConnection struct{ Conn ConnID }
	// ResetConnection resets a connection.
	ResetConnection struct{ Conn ConnID }
	// StopReading reads nothing more of a connection; bytes that were read already may still come.
	StopReading struct{ Conn ConnID }
	// ResumeReading ends that.
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
