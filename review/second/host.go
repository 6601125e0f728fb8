package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/server/clock"
)

// hostEvent is a line of a host's log.
type hostEvent struct {
	Micros  int64  `json:"at"` // Unix time
	Host    string `json:"host"`
	What    string `json:"what"` // offered, accepted, launched, running, stop, withdraw, rejected, reported, over
	Task    string `json:"task"`
	Image   string `json:"image"`
	Attempt string `json:"attempt"`
	Key     string `json:"key,omitempty"` // of an offer
	Detail  string `json:"detail,omitempty"`
}

func (e *hostEvent) time() time.Time { return time.UnixMicro(e.Micros) }

func (e *hostEvent) String() string {
	return strings.TrimRight(fmt.Sprintf("host %s: %s %s (%s) %s %s", e.Host, e.What, e.Task, e.Image, e.Attempt, e.Detail), " ")
}

// hostServer is the project's model of a host on a socket. It logs what placers ask of it and what it runs.
type hostServer struct {
	clock *clock.Clock
	log   *json.Encoder

	mu     sync.Mutex // guards the fields below
	model  *hostmodel.Host
	conns  map[hostmodel.ConnID]net.Conn
	tasks  map[hostproto.Ref]hostEvent // what is known of each attempt
	images map[uint64]string           // images by the fingerprint of the specification
	bound  map[boundTask]int           // tasks that are launched and not over
	lastID hostmodel.ConnID
}

// imagePattern finds the image in the payload of an offer.
var imagePattern = regexp.MustCompile(`[a-z][a-z-]*:[0-9]+`)

// runHost runs a host until its process is ended. It returns only with an error.
func runHost(args []string) error {
	flags := flag.NewFlagSet("host", flag.ContinueOnError)
	name := flags.String("name", "h", "name of the host")
	kind := flags.String("kind", "std-28", "machine type")
	rack := flags.String("rack", "r0", "rack")
	catalog := flags.String("catalog", "", "address of the catalog")
	logFile := flags.String("log", "", "file for the log")
	start := flags.Duration("start", 50*time.Millisecond, "time from the launch of a program until it is ready")
	cores := flags.Float64("cores", 28, "cores")
	memory := flags.Float64("memory", 64, "GiB of memory")
	if err := flags.Parse(args); err != nil {
		return err
	}
	out, err := os.OpenFile(*logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	cfg := hostmodel.DefaultConfig(*name, *kind, "north", *rack, *cores, *memory)
	cfg.StartTime, cfg.UncachedStartFactor = *start, 1
	c := clock.New()
	h := &hostServer{
		clock: c, log: json.NewEncoder(out), conns: map[hostmodel.ConnID]net.Conn{},
		tasks: map[hostproto.Ref]hostEvent{}, images: map[uint64]string{}, bound: map[boundTask]int{},
		model: hostmodel.New(cfg, uint64(c.Now().Microseconds()), 1, c.Now(), false),
	}
	go h.tick()
	go h.register(listener.Addr().String(), *catalog)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go h.serve(conn)
	}
}

// tick lets the model act each 5 ms.
func (h *hostServer) tick() {
	for range time.Tick(5 * time.Millisecond) {
		h.mu.Lock()
		h.send(h.model.Step(h.clock.Now()))
		h.mu.Unlock()
	}
}

func (h *hostServer) serve(conn net.Conn) {
	h.mu.Lock()
	h.lastID++
	id := h.lastID
	h.conns[id] = conn
	h.send(h.model.ConnectionOpened(h.clock.Now(), id))
	h.mu.Unlock()
	var decoder hostproto.Decoder
	buf := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buf)
		h.mu.Lock()
		if err == nil {
			err = decoder.Feed(buf[:n], func(f hostproto.Frame) error {
				h.logReceived(f)
				h.send(h.model.ReceiveFrame(h.clock.Now(), id, f))
				return nil
			})
		}
		if err != nil {
			h.send(h.model.ConnectionClosed(h.clock.Now(), id))
			delete(h.conns, id)
			_ = conn.Close()
			h.mu.Unlock()
			return
		}
		h.mu.Unlock()
	}
}

// send sends the outputs of the model. The caller holds mu.
func (h *hostServer) send(outputs []hostmodel.Output) {
	for _, o := range outputs {
		conn := h.conns[o.Conn]
		if o.Frame != nil {
			h.logSent(o.Frame)
		}
		switch {
		case conn == nil:
		case o.Frame == nil:
			_ = conn.Close()
		default:
			_, _ = conn.Write(hostproto.Append(nil, o.Frame))
		}
	}
	h.logChanges()
}

// write adds an event of an attempt to the log.
func (h *hostServer) write(ref hostproto.Ref, what, detail string) {
	e := h.tasks[ref]
	e.Micros, e.Host, e.What, e.Detail = time.Now().UnixMicro(), h.model.Config().Name, what, detail
	e.Attempt = fmt.Sprintf("%d-%d-%d", ref.Epoch, ref.Task, ref.Attempt)
	_ = h.log.Encode(e)
}

func (h *hostServer) logReceived(f hostproto.Frame) {
	switch f := f.(type) {
	case hostproto.Offer:
		h.images[f.Spec.Fingerprint] = string(imagePattern.Find(f.Payload))
		h.tasks[f.Ref] = hostEvent{Task: f.Spec.Name, Image: h.images[f.Spec.Fingerprint], Key: fmt.Sprintf("%016x", f.Spec.Key)}
		h.write(f.Ref, "offered", "key "+h.tasks[f.Ref].Key)
	case hostproto.Stop:
		h.write(f.Ref, "stop", "")
	case hostproto.Withdraw:
		h.write(f.Ref, "withdraw", "")
	}
}

func (h *hostServer) logSent(f hostproto.Frame) {
	switch f := f.(type) {
	case hostproto.Accepted:
		h.write(f.Ref, "accepted", "")
	case hostproto.Running:
		h.write(f.Ref, "running", "")
	case hostproto.Refused:
		h.write(f.Ref, "rejected", fmt.Sprint("reason ", f.Reason))
	case hostproto.Ended:
		h.write(f.Ref, "reported", fmt.Sprint("end, result ", f.Result))
	}
}

// boundTask identifies the tasks of one name and make that a host has launched.
type boundTask struct {
	name        string
	fingerprint uint64
}

// logChanges logs which tasks the host has launched and which are over, whether or not a placer is connected.
func (h *hostServer) logChanges() {
	now := map[boundTask]int{}
	for _, spec := range h.model.BoundSpecs() {
		now[boundTask{spec.Name, spec.Fingerprint}]++
	}
	for t, n := range now {
		for range n - h.bound[t] {
			h.writeTask(t, "launched")
		}
	}
	for t, n := range h.bound {
		for range n - now[t] {
			h.writeTask(t, "over")
		}
	}
	h.bound = now
}

func (h *hostServer) writeTask(t boundTask, what string) {
	_ = h.log.Encode(hostEvent{
		Micros: time.Now().UnixMicro(), Host: h.model.Config().Name, What: what, Task: t.name, Image: h.images[t.fingerprint],
	})
}

// register registers the host in the catalog each 500 ms, with what it has available.
func (h *hostServer) register(address, catalog string) {
	for {
		h.mu.Lock()
		cfg := h.model.Config()
		cores, memory := h.model.Available()
		h.mu.Unlock()
		entry := consul.Host{
			Name: cfg.Name, Address: address, Kind: cfg.MachineType, Zone: cfg.Zone, Rack: cfg.Rack, FreeCores: cores, FreeMemory: memory,
		}
		if err := putRegistration(&entry, catalog); err != nil {
			fmt.Fprintln(os.Stderr, "registration:", err)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func putRegistration(entry *consul.Host, catalog string) error {
	registration, err := consul.NewRegistration(entry, "forkhead-host")
	if err != nil {
		return err
	}
	body, err := json.Marshal(&registration)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+catalog+"/v1/catalog/register", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// startHost starts a host of the service as a process.
func (l *lab) startHost(name, catalog string, flags ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := []string{self, "host", "-name", name, "-catalog", catalog, "-log", filepath.Join(l.dir, name+".hostlog")}
	return l.start("host-"+name, nil, append(command, flags...)...)
}

// hostEvents returns the events of all hosts so far, in the order of their times.
func (l *lab) hostEvents() []hostEvent {
	files, _ := filepath.Glob(filepath.Join(l.dir, "*.hostlog"))
	var events []hostEvent
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(bytes.NewReader(text))
		for lines.Scan() {
			var e hostEvent
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				events = append(events, e)
			}
		}
	}
	slices.SortStableFunc(events, func(a, b hostEvent) int { return a.time().Compare(b.time()) })
	return events
}
