package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// placerConfig is what a placer is started with.
type placerConfig struct {
	root     string // root of the repository
	folder   string // temporary folder of the run
	memoryMB int
	sockets  int
	settings map[string]any
	log      *changeLog
}

// placer is a process of the placer, started with the command of the deploy file.
type placer struct {
	rec    *record
	cmd    *exec.Cmd
	addr   string
	config string // path of its configuration
	exited chan struct{}
	stderr *os.File
}

// runCommand reads the command `run` of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return "", errors.New("the deploy file has no line run")
	}
	return string(match[1]), nil
}

// freeAddress returns a loopback address that nothing listens at.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

func startPlacer(rec *record, cfg *placerConfig) (*placer, error) {
	command, err := runCommand(cfg.root)
	if err != nil {
		return nil, err
	}
	p := &placer{rec: rec, config: filepath.Join(cfg.folder, "config.json"), exited: make(chan struct{})}
	if p.addr, err = freeAddress(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": p.addr, "seed": "8c1f30d27a5be964",
		"limits":    map[string]any{"cores": 1.0, "memory_mb": cfg.memoryMB, "sockets": cfg.sockets},
		"changelog": cfg.log.addr, "known": cfg.log.known(), "settings": cfg.settings,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		return nil, err
	}
	if p.stderr, err = os.Create(filepath.Join(cfg.folder, "placer.log")); err != nil {
		return nil, err
	}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = cfg.root, p.stderr, p.stderr
	p.cmd.Env = append(os.Environ(), "BALANCER_NAME=n0", "BALANCER_LISTEN="+p.addr, "BALANCER_CONFIG="+p.config)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p, p.awaitReady()
}

// awaitReady waits until the placer passes a test, as the front does.
func (p *placer) awaitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.exited:
			return errors.New("the placer has ended before it was ready")
		default:
		}
		if p.passesTest() {
			p.rec.add("placer", "is ready")
			return nil
		}
	}
	return fmt.Errorf("the placer passes no test at %s", p.addr)
}

func (p *placer) passesTest() bool {
	socket, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return false
	}
	conn := &lineConn{Conn: socket}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	passed := false
	if conn.write(withCause("hb", "00000000000000fb", 0)) == nil {
		conn.read(func(m *message) {
			passed = m.Type == "hb_ok" && m.cause() == 1
			_ = conn.Close()
		})
	}
	return passed
}

// stop kills the process and waits for its end.
func (p *placer) stop() {
	_ = p.cmd.Process.Kill()
	<-p.exited
	_ = p.stderr.Close()
}
