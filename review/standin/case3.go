package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Shape of case 3.
const (
	floodMemoryMB = 64    // memory that the configuration grants, as on the days of the bench
	floodClients  = 6     // bad clients
	floodEach     = 900   // set-ups that each of them sends at once
	floodText     = 15000 // bytes of the description of each of these; a message may hold 16 KiB
	floodLooks    = 5     // looks of the platform at the placer's memory
)

// memoryLimit is case 3. It lets bad clients send hundreds of set-ups at once, each within the size of a message, while
// the hosts are full. The platform looks at the placer's memory once a second, and kills it when it takes more than its
// configuration grants. The rule is broken if it does; the record has what becomes of a usual owner's requests.
func memoryLimit(r *run) error {
	w, err := newWorld(r, worldConfig{hosts: 4, memoryMB: floodMemoryMB})
	if err != nil {
		return err
	}
	defer w.stop()
	for _, h := range w.hosts {
		h.setRefuse(func(*message) bool { return true })
	}
	owner := newOwner(r.rec, "owner", w.placer.addr)
	if err := owner.connect(); err != nil {
		return err
	}
	if r.trouble {
		for c := range floodClients {
			go floodFrom(r, w.placer.addr, c, floodEach, floodText)
		}
	}
	for range floodLooks {
		var refs []string
		for service := range uint64(10) {
			refs = append(refs, owner.send(smallAsk("keyed", 1+service)))
			time.Sleep(100 * time.Millisecond)
		}
		used := anonymousMemory(w.placer.cmd.Process.Pid)
		r.rec.add("platform", "the placer takes %.1f MB, %d MB are granted", used, floodMemoryMB)
		if used > floodMemoryMB {
			return killForMemory(r, w, owner, refs, used)
		}
	}
	return nil
}

// killForMemory kills the placer as the platform does.
func killForMemory(r *run, w *world, owner *owner, refs []string, used float64) error {
	r.rec.add("platform", "kills the placer")
	_ = w.placer.cmd.Process.Kill()
	owner.awaitEnd()
	lost := 0
	for _, ref := range refs {
		if owner.get(ref).answer == nil {
			lost++
		}
	}
	r.rec.add("run", "%d requests of the usual owner are unanswered at their connection's end", lost)
	return fmt.Errorf("%w: the placer takes %.0f MB of memory, %d MB are granted; it is killed, and %d requests of the usual owner are unanswered",
		errBroken, used, floodMemoryMB, lost)
}

// floodFrom sends the set-ups of one bad client at full speed.
func floodFrom(r *run, addr string, number, count, text int) {
	client := newOwner(r.rec, fmt.Sprintf("bad%d", number), addr)
	if client.connect() != nil {
		return
	}
	a := smallAsk("keyed", uint64(100+number))
	a.text = strings.Repeat("x", text)
	for range count {
		client.send(a)
	}
}

// anonymousMemory returns the resident memory of a process without that of files, in MB.
func anonymousMemory(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if parts := strings.Fields(line); len(parts) > 1 && parts[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(parts[1], 64)
			return kb / 1024
		}
	}
	return 0
}
