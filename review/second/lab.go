package main

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lab holds the processes and the record of one run of a case.
type lab struct {
	folder  string // folder of the case, which gets the record
	dir     string // temporary folder of this run
	trouble bool   // whether the run has the disruption
	started time.Time

	mu        sync.Mutex // guards the fields below
	lines     []recordLine
	processes []*process
}

// recordLine is a line of the record.
type recordLine struct {
	at   time.Time
	text string
}

// process is a process that the lab has started.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
}

func newLab(folder string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		return nil, err
	}
	return &lab{folder: folder, dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}, nil
}

// record adds a line to the record.
func (l *lab) record(format string, args ...any) {
	l.recordAt(time.Now(), fmt.Sprintf(format, args...))
}

func (l *lab) recordAt(at time.Time, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, recordLine{at, text})
}

// writeRecord writes the record, ordered by time, with the logs of the stand-ins' processes.
func (l *lab) writeRecord() error {
	for _, e := range l.hostEvents() {
		l.recordAt(e.time(), e.String())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(l.lines, func(a, b recordLine) int { return a.at.Compare(b.at) })
	var text strings.Builder
	for _, line := range l.lines {
		fmt.Fprintf(&text, "%9.3f s  %s\n", line.at.Sub(l.started).Seconds(), line.text)
	}
	err := os.WriteFile(filepath.Join(l.folder, "record.txt"), []byte(text.String()), 0o600)
	return cmp.Or(err, os.RemoveAll(l.dir))
}

// start starts a process, whose output goes to a file of the temporary folder.
func (l *lab) start(name string, env []string, command ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(l.dir, name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(command[0], command[1:]...)
	c.Env = append(os.Environ(), env...)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, command: c, exited: make(chan struct{})}
	go func() {
		_ = c.Wait()
		close(p.exited)
	}()
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	l.record("%s: process started", name)
	return p, nil
}

// kill ends a process with SIGKILL and waits for it.
func (l *lab) kill(p *process) {
	if p.hasExited() {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
	l.record("%s: process killed", p.name)
}

// terminate ends a process with SIGTERM and waits for it.
func (l *lab) terminate(p *process) error {
	l.record("%s: SIGTERM", p.name)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		l.record("%s: process ended", p.name)
		return nil
	case <-time.After(10 * time.Second):
		return fmt.Errorf("%s did not end within 10 s of SIGTERM", p.name)
	}
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// close ends all processes that the lab has started.
func (l *lab) close() {
	l.mu.Lock()
	processes := slices.Clone(l.processes)
	l.mu.Unlock()
	for _, p := range processes {
		l.kill(p)
	}
}

// The ports that freePort tries lie below those that the kernel gives to outgoing connections, so that a port stays free while its
// process is restarted. They begin at a place that follows from the process, so that cases that run at once get different ones.
const firstPort, portCount, portsPerProcess = 12000, 20000, 8

// portsTried is the number of ports that freePort has tried.
var portsTried atomic.Int64

// freePort returns an address of 127.0.0.1 whose port is free for TCP and UDP, another one at each call.
func freePort() (string, error) {
	for range portCount {
		port := firstPort + (os.Getpid()*portsPerProcess+int(portsTried.Add(1)))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// awaitListener waits until a process listens at an address.
func (l *lab) awaitListener(p *process, address string) error {
	for range 500 {
		if p.hasExited() {
			text, _ := os.ReadFile(filepath.Join(l.dir, p.name+".out"))
			return fmt.Errorf("%s has ended: %s", p.name, strings.TrimSpace(string(text)))
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		isOwn := conn.LocalAddr().String() == conn.RemoteAddr().String() // a connection to itself, which the kernel allows
		_ = conn.Close()
		if !isOwn {
			return nil
		}
	}
	return fmt.Errorf("nothing listens at %s", address)
}

// program returns the path of one of the project's programs.
func program(name string) string {
	if folder := os.Getenv("BIN"); folder != "" {
		return filepath.Join(folder, name)
	}
	return filepath.Join("bin", name)
}
