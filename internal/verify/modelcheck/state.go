// Package modelcheck searches all states of a small service: the machines that the placer and the
// hosts run on (attempt, hostlink, hostside and the guard's drain rule), composed with a network that
// loses, delays and cuts, hosts that die and come back, a placer that crashes, drains, and timers
// that may fire at any time. In the module's place stands every legal action at any moment.
package modelcheck

import (
	"unsafe"

	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostsession"
)

// Bounds of the arrays.
const (
	maxTasks    = 3
	maxHosts    = 2
	maxAttempts = 3 // of one task, over all asks and lives
	maxQueue    = 4 // messages on their way on one connection, one way
)

// forgotten is the phase of an attempt that an earlier life of the placer made.
const forgotten = 7

// State has no pointers and no padding: all fields are bytes, so that it can be hashed as such.
type state struct {
	tasks  [maxTasks]task
	hosts  [maxHosts]host
	life   uint8
	faults uint8 // used up
}

// Owner's states.
const (
	waiting uint8 = iota
	asking
	placed
	done
)

// Outcomes.
const (
	untold uint8 = iota
	toldPlaced
	toldRefused
	toldFailed
)

type task struct {
	owner   uint8
	told    uint8
	n       uint8 // attempts made
	asks    uint8 // in this life
	refused uint8 // how its last ask ended
	late    uint8 // 1: hosts have forgotten its key
	att     [maxAttempts]att
}

type att struct {
	phase uint8
	host  uint8
	epoch uint8 // of the host when it was written
	conn  uint8 // on which it was written
	ask   uint8
	life  uint8 // of the placer that made it
}

type host struct {
	up      uint8
	epoch   uint8
	drains  uint8
	told    uint8 // 1: the placer was told, 2: and the grace is over
	link    uint8
	conn    uint8
	known   uint8 // the epoch that the link knows
	ready   uint8 // Welcome and Holds have come
	sLife   uint8 // the session at the host
	sConn   uint8
	sOpen   uint8
	jobs    [maxTasks][maxAttempts]uint8
	streams [2]stream
}

// stream is one TCP connection: it may be closed at one end and not yet at the other.
type stream struct {
	num   uint8 // 0: none
	life  uint8
	pOpen uint8 // at the placer
	hOpen uint8 // at the host
	dead  uint8 // cut: nothing gets through any more
	nth   uint8
	ntp   uint8
	th    [maxQueue]message // to the host
	tp    [maxQueue]message // to the placer
}

// message is its kind, its task and attempt, and for Welcome what the host holds.
type message struct {
	kind uint8
	at   uint8 // task<<4 | attempt
	held [2]uint8
}

// Kinds of messages.
const (
	mHello uint8 = iota + 1
	mOffer
	mWithdraw
	mStop
	mQuery
	mWelcome
	mRefused
	mRunning
	mEnded
	mCalled
)

var messageNames = [...]string{"", "Hello", "Offer", "Withdraw", "Stop", "Query", "Welcome", "Refused", "Running", "Ended", "Ended(called)"}

func (m message) task() (t, a int) { return int(m.at >> 4), int(m.at & 15) }

func msg(kind uint8, t, a int) message { return message{kind: kind, at: uint8(t<<4 | a)} }

func bit(t, a int) (int, uint8) { i := t*maxAttempts + a; return i / 8, 1 << (i % 8) }

// bytes is the state as it lies in memory.
func (s *state) bytes() []byte {
	return unsafe.Slice((*byte)(unsafe.Pointer(s)), int(unsafe.Sizeof(*s)))
}

func (s *stream) toHost(m message) bool {
	if s.dead == 1 || s.hOpen == 0 {
		return true // it vanishes
	}
	if int(s.nth) == len(s.th) {
		return false
	}
	s.th[s.nth] = m
	s.nth++
	return true
}

func (s *stream) toPlacer(m message) bool {
	if s.dead == 1 || s.pOpen == 0 {
		return true
	}
	if int(s.ntp) == len(s.tp) {
		return false
	}
	s.tp[s.ntp] = m
	s.ntp++
	return true
}

// pop takes the first message of a queue; what is behind it moves up, the free end is zero.
func pop(q *[maxQueue]message, n *uint8) message {
	m := q[0]
	copy(q[:], q[1:])
	q[maxQueue-1] = message{}
	*n--
	return m
}

// settle clears a stream that is closed at both ends.
func (s *stream) settle() {
	if s.pOpen == 0 && s.hOpen == 0 {
		*s = stream{}
		return
	}
	if s.hOpen == 0 {
		s.th, s.nth = [maxQueue]message{}, 0
	}
	if s.pOpen == 0 {
		s.tp, s.ntp = [maxQueue]message{}, 0
	}
}

func (h *host) stream(num, life uint8) *stream {
	for i := range h.streams {
		if h.streams[i].num == num && h.streams[i].life == life && num > 0 {
			return &h.streams[i]
		}
	}
	return nil
}

func (h *host) job(t, a int) hostsession.State { return hostsession.State(h.jobs[t][a]) }

func (a *att) is() attempt.Phase { return attempt.Phase(a.phase) }

// mine says whether the placer's present life knows the attempt.
func (a *att) mine(life uint8) bool { return a.life == life && a.phase != forgotten }

// permutations of up to three things.
var permutations = [][][]int{
	{{}}, {{0}}, {{0, 1}, {1, 0}},
	{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}},
}

// canonical returns the least of all states that differ only in which task or host is which:
// tasks are of one class and hosts alike, so what holds of one holds of all.
func (s *state) canonical(tasks, hosts int) state {
	best := *s
	for _, hp := range permutations[hosts] {
		for _, tp := range permutations[tasks] {
			c := s.permuted(tp, hp)
			if less(c.bytes(), best.bytes()) {
				best = c
			}
		}
	}
	return best
}

func less(a, b []byte) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// permuted puts task i at place tp[i] and host i at hp[i].
func (s *state) permuted(tp, hp []int) state {
	c := *s
	for i, to := range tp {
		c.tasks[to] = s.tasks[i]
		for a := range c.tasks[to].att {
			if at := &c.tasks[to].att[a]; a < int(c.tasks[to].n) {
				at.host = uint8(hp[at.host])
			}
		}
	}
	for i, to := range hp {
		h := s.hosts[i]
		for t, tt := range tp {
			h.jobs[tt] = s.hosts[i].jobs[t]
		}
		for k := range h.streams {
			st := &h.streams[k]
			for j := range st.nth {
				st.th[j] = st.th[j].permuted(tp)
			}
			for j := range st.ntp {
				st.tp[j] = st.tp[j].permuted(tp)
			}
		}
		c.hosts[to] = h
	}
	return c
}

func (m message) permuted(tp []int) message {
	if m.kind == mHello {
		return m
	}
	if m.kind == mWelcome {
		c := message{kind: m.kind, at: m.at}
		for t, tt := range tp {
			for a := range maxAttempts {
				i, b := bit(t, a)
				j, d := bit(tt, a)
				if m.held[i]&b != 0 {
					c.held[j] |= d
				}
			}
		}
		return c
	}
	t, a := m.task()
	return msg(m.kind, tp[t], a)
}
