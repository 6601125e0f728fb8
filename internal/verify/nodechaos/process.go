package nodechaos

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	emulator "forkhead/internal/emulator/platform"
	"forkhead/internal/protocol/platform"
)

// Limits of a placer's process.
const (
	readyTimeout   = 10 * time.Second // a placer must accept connections within this time
	readyInterval  = 10 * time.Millisecond
	placerSockets  = 512
	placerMemoryMB = 128
	configFileMode = 0o600
)

// process is the process of a placer.
type process struct {
	options *Options
	placer  int
	address string // address at which the placer listens
	running *exec.Cmd
	exited  chan struct{} // closed when the running process has ended
	starts  int
}

// newProcess prepares the process of a placer. It chooses a free address.
func newProcess(options *Options, placer int) (*process, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("choose an address for placer %d: %w", placer, err)
	}
	defer func() { _ = listener.Close() }()
	return &process{options: options, placer: placer, address: listener.Addr().String()}, nil
}

// start writes the configuration, starts the process and waits until it accepts connections.
func (p *process) start(plan *Plan, platformServer *emulator.Server) error {
	p.starts++
	configFile := filepath.Join(p.options.Folder, fmt.Sprintf("placer-%d.json", p.placer))
	if err := p.writeConfig(plan, platformServer, configFile); err != nil {
		return err
	}
	logFile, err := os.OpenFile(p.logName(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, configFileMode)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	command := exec.Command(p.options.Command[0], p.options.Command[1:]...)
	command.Env = append(append(os.Environ(), p.options.Env...), "BALANCER_CONFIG="+configFile, "BALANCER_LISTEN="+p.address)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return fmt.Errorf("start placer %d: %w", p.placer, err)
	}
	p.running, p.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.exited)
	return p.awaitReady()
}

func (p *process) logName() string {
	return filepath.Join(p.options.Folder, fmt.Sprintf("placer-%d.log", p.placer))
}

func (p *process) writeConfig(plan *Plan, platformServer *emulator.Server, file string) error {
	cfg := platform.Config{
		Name: fmt.Sprintf("n%d", p.placer), Listen: p.address, Seed: strconv.FormatUint(plan.Seed+uint64(p.starts), 16),
		Limits:       platform.Limits{Cores: 1, MemoryMB: placerMemoryMB, Sockets: placerSockets},
		WatchAddress: platformServer.WatchAddress(p.placer), Settings: plan.settings(p.placer),
	}
	cfg.Initial.Events = platformServer.InitialEvents(p.placer)
	for _, event := range cfg.Initial.Events {
		cfg.Initial.Seq = max(cfg.Initial.Seq, event.Seq)
	}
	text, err := json.Marshal(&cfg)
	if err != nil {
		return fmt.Errorf("encode the configuration of placer %d: %w", p.placer, err)
	}
	return os.WriteFile(file, text, configFileMode)
}

// awaitReady waits until the process accepts connections.
func (p *process) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyInterval) {
		if p.hasExited() {
			return fmt.Errorf("placer %d ended before it was ready: %v", p.placer, p.running.ProcessState)
		}
		conn, err := net.DialTimeout("tcp", p.address, readyTimeout)
		if err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("placer %d was not ready within %v", p.placer, readyTimeout)
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process. A process that has ended already is no error.
func (p *process) signal(signal syscall.Signal) error {
	err := p.running.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// requestsShutdown reports whether a signal, or one that follows it, requests the shutdown of a placer.
func (s *Signal) requestsShutdown() bool {
	return s.Signal == syscall.SIGTERM || slices.Contains(s.Then, syscall.SIGTERM)
}

// kill ends the process and waits for it.
func (p *process) kill() {
	if p.running == nil {
		return
	}
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(syscall.SIGKILL)
	<-p.exited
}
