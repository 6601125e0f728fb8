package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A configuration that cannot be used is one clear line and exit 2.
func TestNodeBadConfiguration(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"BALANCER_CONFIG is not set": "", "no such file": "-", "configuration:": "{", "listen": `{"settings":{},"changelog":"x"}`,
		"balancers is missing": `{"listen":"127.0.0.1:0","changelog":"127.0.0.1:1","settings":{}}`,
	} {
		file := filepath.Join(dir, "config.json")
		switch text {
		case "":
			file = ""
		case "-":
			file = filepath.Join(dir, "none")
		default:
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		t.Setenv("BALANCER_CONFIG", file)
		t.Setenv("BALANCER_LISTEN", "")
		var out, errs bytes.Buffer
		if code := Run([]string{"node"}, &out, &errs); code != exitInput || strings.Count(errs.String(), "\n") != 1 || !strings.Contains(errs.String(), name) {
			t.Errorf("%s: exit %d, %q", name, code, errs.String())
		}
	}
}

// The built program serves at BALANCER_LISTEN, lives through SIGHUP with a file that cannot be used and with one that can,
// follows the new change log, and ends with 0 on SIGTERM.
func TestNodeSignals(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "forkhead")
	if text, err := exec.Command("go", "build", "-o", program, "forkhead/cmd/forkhead").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	settings, err := os.ReadFile("../server/platform/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	logs := [2]net.Listener{}
	for i := range logs {
		if logs[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		defer logs[i].Close()
	}
	file := filepath.Join(dir, "config.json")
	write := func(log net.Listener, settings string) {
		text, err := json.Marshal(map[string]any{
			"listen": "127.0.0.1:1", "changelog": log.Addr().String(), "settings": json.RawMessage(settings), "limits": map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 256},
			"known": json.RawMessage(`{"seq":7,"results":[{"seq":7,"fleet":{"whole":true,"hosts":[{"host":"s-00000001","dial":"127.0.0.1:1","site":"z","class":"std","health":"in_service","free":[4,4]}]}}]}`),
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(logs[0], string(settings))
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := free.Addr().String()
	_ = free.Close()
	c := exec.Command(program, "node", "--log", "info")
	c.Env = append(os.Environ(), "BALANCER_CONFIG="+file, "BALANCER_LISTEN="+listen)
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Process.Kill() }()
	asked := func(log net.Listener) {
		t.Helper()
		_ = log.(*net.TCPListener).SetDeadline(time.Now().Add(30 * time.Second))
		conn, err := log.Accept()
		if err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(conn)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if strings.TrimSpace(line) == "Last-Event-Id: 7" {
				return // the connection stays open and silent
			}
		}
	}
	well := func() {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no test is passed")
			}
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				continue
			}
			fmt.Fprintln(conn, `{"t":"hb","ref":"0000000000000001","f":{},"c":0}`)
			line, _ := bufio.NewReader(conn).ReadString('\n')
			_ = conn.Close()
			if strings.Contains(line, `"hb_ok"`) && strings.Contains(line, `"c":1`) {
				return
			}
		}
	}
	asked(logs[0])
	well()
	if err := os.WriteFile(file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = c.Process.Signal(syscall.SIGHUP)
	well()
	write(logs[1], `{"balancers":0}`) // the address is good, the settings are not: the old configuration stays
	_ = c.Process.Signal(syscall.SIGHUP)
	well()
	_ = logs[1].(*net.TCPListener).SetDeadline(time.Now().Add(300 * time.Millisecond))
	if conn, err := logs[1].Accept(); err == nil {
		conn.Close()
		t.Error("a configuration that cannot be used is gone by")
	}
	write(logs[1], string(settings))
	_ = c.Process.Signal(syscall.SIGHUP)
	asked(logs[1])
	well()
	_ = c.Process.Signal(syscall.SIGTERM)
	_ = c.Process.Signal(syscall.SIGHUP) // and what comes behind it changes nothing
	_ = c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Errorf("it ends with %v", err)
	}
}
