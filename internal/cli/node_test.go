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

// An invalid or missing configuration must end the command with exit code 2 and an error of one line.
func TestNodeInvalidConfigurationReturnsOneLineError(t *testing.T) {
	dir := t.TempDir()
	for want, text := range map[string]string{
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
		if code := Run([]string{"node"}, &out, &errs); code != exitInput || strings.Count(errs.String(), "\n") != 1 || !strings.Contains(errs.String(), want) {
			t.Errorf("forkhead node with configuration %q: exit code %d, standard error %q; want exit code %d and one line with %q",
				text, code, errs.String(), exitInput, want)
		}
	}
}

// nodeProcess runs the built program as the platform does, with a configuration file. The listeners in watches act as two
// servers from which the program can watch the endpoint list.
type nodeProcess struct {
	process    *exec.Cmd
	configFile string
	traceFile  string
	address    string // address that the program listens at
	watches    [2]net.Listener
}

// startNode builds the program and starts it with a configuration that has the given settings and the address of the
// first listener in watches.
func startNode(t *testing.T, settings string) *nodeProcess {
	t.Helper()
	n := buildNode(t)
	n.writeConfig(t, n.watches[0], settings)
	n.start(t)
	return n
}

// buildNode builds the program and prepares its process. It does not write a configuration.
func buildNode(t *testing.T) *nodeProcess {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "forkhead")
	if text, err := exec.Command("go", "build", "-o", program, "forkhead/cmd/forkhead").CombinedOutput(); err != nil {
		t.Fatalf("go build forkhead/cmd/forkhead: %v: %s", err, text)
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

// start starts the process, which is killed at the end of the test.
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

// writeConfig writes a configuration with the given settings, the address of the listener watch, and the endpoint list
// as of event 7.
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

func (n *nodeProcess) signal(s os.Signal) { _ = n.process.Process.Signal(s) }

// awaitPoll waits until the program connects to the listener watch and requests the events of the endpoint list after
// event 7. It sends no reply and leaves the connection open.
func (n *nodeProcess) awaitPoll(t *testing.T, watch net.Listener) {
	t.Helper()
	_ = watch.(*net.TCPListener).SetDeadline(time.Now().Add(30 * time.Second))
	conn, err := watch.Accept()
	if err != nil {
		t.Fatalf("Accept() at watch %s: error %v, want a connection of the program within 30 s", watch.Addr(), err)
	}
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatalf("poll at watch %s: error %v before the header, want Last-Event-Id: 7", watch.Addr(), err)
		}
		if strings.TrimSpace(line) == "Last-Event-Id: 7" {
			return
		}
	}
}

// awaitHealthy waits until the placer replies to a health probe with the expected message.
func (n *nodeProcess) awaitHealthy(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("probes of %s for 30 s: got no reply with hb_ok and c = 1, want one", n.address)
		}
		conn, err := net.Dial("tcp", n.address)
		if err != nil {
			continue
		}
		// After a failed write there is no reply, so the loop sends another probe.
		_, _ = fmt.Fprintln(conn, `{"t":"hb","ref":"0000000000000001","f":{},"c":0}`)
		line, _ := bufio.NewReader(conn).ReadString('\n')
		_ = conn.Close()
		if strings.Contains(line, `"hb_ok"`) && strings.Contains(line, `"c":1`) {
			return
		}
	}
}

// The built program must serve at the address in BALANCER_LISTEN. A SIGHUP must have no effect if the configuration
// file is invalid. If the file is valid, the program must watch the endpoint list at the address in the file from then
// on. SIGTERM must end the program with exit code 0. The trace that the program wrote must replay with the same
// outputs.
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
	// The address is valid but the settings are not, so the old configuration must stay in use.
	n.writeConfig(t, n.watches[1], `{"balancers":0}`)
	n.signal(syscall.SIGHUP)
	n.awaitHealthy(t)
	_ = n.watches[1].(*net.TCPListener).SetDeadline(time.Now().Add(300 * time.Millisecond))
	if conn, err := n.watches[1].Accept(); err == nil {
		_ = conn.Close()
		t.Error("after SIGHUP with invalid settings, the program polls the new watch address, want the old configuration kept")
	}
	n.writeConfig(t, n.watches[1], string(settings))
	n.signal(syscall.SIGHUP)
	n.awaitPoll(t, n.watches[1])
	n.awaitHealthy(t)
	n.signal(syscall.SIGTERM)
	n.signal(syscall.SIGHUP) // signals after the first SIGTERM must have no effect
	n.signal(syscall.SIGTERM)
	if err := n.process.Wait(); err != nil {
		t.Errorf("after SIGTERM: process ended with %v, want exit code 0", err)
	}
	checkTrace(t, n.traceFile)
}

// A SIGTERM that arrives before the listener is open must not end the program at once. In this test it arrives while
// the program reads its configuration. The program must serve the connections that are made while it starts, and then
// end with exit code 0.
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
	// Opening the pipe blocks until the program opens the pipe too. By then the program handles signals. It reads its
	// configuration until the pipe is closed.
	pipe, err := os.OpenFile(n.configFile, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	n.signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond) // gives the signal time to be delivered
	n.writeConfig(t, n.watches[0], string(settings))
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	n.awaitHealthy(t)
	if err := n.process.Wait(); err != nil {
		t.Errorf("after SIGTERM: process ended with %v, want exit code 0", err)
	}
}

// checkTrace runs the command replay on the trace of a placer that replied to a probe, and on invalid files. The trace is
// replayed unchanged, truncated, and with a changed output.
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
	const probeRef, unknownRef = "0000000000000001", "00000000000000ff"
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{name}, exitOK, " steps replayed, the outputs are the same"},
		{[]string{name, "--output", "json"}, exitOK, `,"cut":false}`},
		{[]string{cut}, exitOK, "the trace ends within a step, which is not replayed"},
		{[]string{changed}, exitNegativeResult, "differs from output 0 on\ninputs:\n  platform.Owner"},
		{[]string{changed, "--output", "json"}, exitNegativeResult, `"want":["platform.SendToOwner {\"Line\":`},
		{[]string{name, "--request", probeRef}, exitOK, `out  owner 1  {"t":"hb_ok","ref":"0000000000000001"`},
		{[]string{cut, "--request", probeRef, "--output", "json"}, exitOK, `"direction":"out","peer":"owner","connection":1,"line":"{`},
		{[]string{cut, "--request", unknownRef}, exitNegativeResult, "the trace ends within a step"},
		{[]string{name, "--request", "1"}, exitInput, `--request is "1", want 16 hex digits`},
		{[]string{write("")}, exitInput, "changed.jsonl: not a trace of forkhead node"},
		{[]string{write(strings.Replace(string(trace), `"Version":1`, `"Version":9`, 1))}, exitInput, "the trace is of version 9; want 1"},
		{[]string{name + "x"}, exitInput, "want a file that can be read, with a trace that node --trace has written"},
		{nil, exitInput, "accepts 1 arg"},
	} {
		code, out, errs := run(append([]string{"replay"}, c.args...)...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("forkhead replay %q: exit code %d, output %q, standard error %q; want exit code %d and text with %q",
				c.args, code, out, errs, c.code, c.want)
		}
	}
}
