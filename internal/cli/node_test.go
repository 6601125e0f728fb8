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

// nodeProcess is the built program as the platform runs it, with a configuration file and a listener for each address of
// the endpoint list's watch.
type nodeProcess struct {
	process    *exec.Cmd
	configFile string
	traceFile  string
	address    string // where it listens
	watches    [2]net.Listener
}

// startNode builds and starts the program with settings and the first watch.
func startNode(t *testing.T, settings string) *nodeProcess {
	t.Helper()
	n := buildNode(t)
	n.writeConfig(t, n.watches[0], settings)
	n.start(t)
	return n
}

// buildNode builds the program. It has no configuration yet.
func buildNode(t *testing.T) *nodeProcess {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "forkhead")
	if text, err := exec.Command("go", "build", "-o", program, "forkhead/cmd/forkhead").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	n := &nodeProcess{configFile: filepath.Join(dir, "config.json"), traceFile: filepath.Join(dir, "trace.jsonl")}
	for i := range n.watches {
		n.watches[i] = listenLoopback(t)
		t.Cleanup(func() { _ = n.watches[i].Close() })
	}
	unused := listenLoopback(t)
	n.address = unused.Addr().String()
	_ = unused.Close()
	n.process = exec.Command(program, "node", "--log", "info", "--trace", n.traceFile)
	n.process.Env = append(os.Environ(), "BALANCER_CONFIG="+n.configFile, "BALANCER_LISTEN="+n.address)
	n.process.Stderr = os.Stderr
	return n
}

// start starts the program.
func (n *nodeProcess) start(t *testing.T) {
	t.Helper()
	if err := n.process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.process.Process.Kill() })
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// writeConfig writes a configuration whose list was watched up to event 7.
func (n *nodeProcess) writeConfig(t *testing.T, watch net.Listener, settings string) {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"listen": "127.0.0.1:1", "changelog": watch.Addr().String(), "settings": json.RawMessage(settings), "limits": map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 256},
		"known": json.RawMessage(`{"seq":7,"results":[{"seq":7,"fleet":{"whole":true,"hosts":[{"host":"s-00000001","dial":"127.0.0.1:1","site":"z","class":"std","health":"in_service","free":[4,4]}]}}]}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.configFile, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// signal sends a signal.
func (n *nodeProcess) signal(s os.Signal) { _ = n.process.Process.Signal(s) }

// awaitPoll waits until a watch is polled behind event 7. The connection stays open and silent.
func (n *nodeProcess) awaitPoll(t *testing.T, watch net.Listener) {
	t.Helper()
	_ = watch.(*net.TCPListener).SetDeadline(time.Now().Add(30 * time.Second))
	conn, err := watch.Accept()
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
			return
		}
	}
}

// awaitHealthy waits until the placer answers a probe.
func (n *nodeProcess) awaitHealthy(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no probe is passed")
		}
		conn, err := net.Dial("tcp", n.address)
		if err != nil {
			continue
		}
		_, _ = fmt.Fprintln(conn, `{"t":"hb","ref":"0000000000000001","f":{},"c":0}`) // a failure shows in the answer
		line, _ := bufio.NewReader(conn).ReadString('\n')
		_ = conn.Close()
		if strings.Contains(line, `"hb_ok"`) && strings.Contains(line, `"c":1`) {
			return
		}
	}
}

// The built program serves at BALANCER_LISTEN, goes on after SIGHUP with a file that cannot be used and with one that can,
// follows the new watch, and ends with 0 on SIGTERM. Its trace replays.
func TestNodeSignals(t *testing.T) {
	settings, err := os.ReadFile("../server/platform/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	n := startNode(t, string(settings))
	n.awaitPoll(t, n.watches[0])
	n.awaitHealthy(t)
	if err := os.WriteFile(n.configFile, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	n.signal(syscall.SIGHUP)
	n.awaitHealthy(t)
	n.writeConfig(t, n.watches[1], `{"balancers":0}`) // the address is good, the settings are not: the old configuration stays
	n.signal(syscall.SIGHUP)
	n.awaitHealthy(t)
	_ = n.watches[1].(*net.TCPListener).SetDeadline(time.Now().Add(300 * time.Millisecond))
	if conn, err := n.watches[1].Accept(); err == nil {
		_ = conn.Close()
		t.Error("a configuration that cannot be used is followed")
	}
	n.writeConfig(t, n.watches[1], string(settings))
	n.signal(syscall.SIGHUP)
	n.awaitPoll(t, n.watches[1])
	n.awaitHealthy(t)
	n.signal(syscall.SIGTERM)
	n.signal(syscall.SIGHUP) // and what comes behind it changes nothing
	n.signal(syscall.SIGTERM)
	if err := n.process.Wait(); err != nil {
		t.Errorf("it ends with %v", err)
	}
	checkTrace(t, n.traceFile)
}

// The program serves when SIGTERM has come before its listener was open, here while it read its configuration, and ends with
// 0: connections that come as it starts are answered.
func TestNodeSignalBeforeListening(t *testing.T) {
	settings, err := os.ReadFile("../server/platform/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	n := buildNode(t)
	if err := syscall.Mkfifo(n.configFile, 0o600); err != nil {
		t.Fatal(err)
	}
	n.start(t)
	// Opening the pipe takes until the program opens it too: it handles signals by then, and reads until the pipe closes.
	pipe, err := os.OpenFile(n.configFile, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	n.signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond) // the signal has been delivered
	n.writeConfig(t, n.watches[0], string(settings))
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	n.awaitHealthy(t)
	if err := n.process.Wait(); err != nil {
		t.Errorf("it ends with %v", err)
	}
}

// checkTrace replays a trace of a placer that answered a probe, as it is, cut, and with one byte changed.
func checkTrace(t *testing.T, name string) {
	t.Helper()
	trace, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) string {
		file := filepath.Join(t.TempDir(), "changed.jsonl")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	cut := write(string(trace[:len(trace)-1]))
	changed := write(strings.Replace(string(trace), `"Line":"{\"t\":\"hb_ok`, `"Line":"{\"t\":\"hb_no`, 1))
	const probe, strange = "0000000000000001", "00000000000000ff"
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{name}, exitOK, " steps replayed, the outputs are the same"},
		{[]string{name, "--output", "json"}, exitOK, `,"cut":false}`},
		{[]string{cut}, exitOK, "the trace ends within a step, which is not replayed"},
		{[]string{changed}, exitNo, "differs from output 0 on\ninputs:\n  platform.Owner"},
		{[]string{changed, "--output", "json"}, exitNo, `"want":["platform.SendToOwner {\"Line\":`},
		{[]string{name, "--request", probe}, exitOK, `out  owner 1  {"t":"hb_ok","ref":"0000000000000001"`},
		{[]string{cut, "--request", probe, "--output", "json"}, exitOK, `"direction":"out","peer":"owner","connection":1,"line":"{`},
		{[]string{cut, "--request", strange}, exitNo, "the trace ends within a step"},
		{[]string{name, "--request", "1"}, exitInput, `--request is "1", want 16 hex digits`},
		{[]string{write("")}, exitInput, "changed.jsonl: not a trace of forkhead node"},
		{[]string{write(strings.Replace(string(trace), `"Version":1`, `"Version":9`, 1))}, exitInput, "the trace is of version 9; want 1"},
		{[]string{name + "x"}, exitInput, "want a file that can be read, with a trace that node --trace has written"},
		{nil, exitInput, "accepts 1 arg"},
	} {
		code, out, errs := run(append([]string{"replay"}, c.args...)...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%v: exit %d, want %d and %q; %q %q", c.args, code, c.code, c.want, out, errs)
		}
	}
}
