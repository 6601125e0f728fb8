package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// The scenarios of this file show further faults that the report names. They are no cases.

// answerLost resets the connection of a set-up while the answer is on its way. The owner sends the set-up again once.
// The rule is broken if the set-up gets no answer on the new connection.
func answerLost(r *run) error {
	w, err := newWorld(r, worldConfig{hosts: 4, memoryMB: 128})
	if err != nil {
		return err
	}
	defer w.stop()
	network, err := startProxy(r.rec, w.placer.addr)
	if err != nil {
		return err
	}
	defer network.stop()
	owner := newOwner(r.rec, "owner", network.ln.Addr().String())
	if err := owner.connect(); err != nil {
		return err
	}
	a := smallAsk("keyed", 1)
	if r.trouble {
		network.setResetAtAnswer()
	}
	sentAt := time.Now()
	ref := owner.send(a)
	if r.trouble {
		owner.awaitEnd()
		if err := owner.connect(); err != nil {
			return err
		}
		if time.Since(sentAt) > 50*time.Millisecond {
			return fmt.Errorf("the connection ended %v after the set-up", time.Since(sentAt))
		}
		owner.send(a.again(ref))
	}
	owner.awaitAnswer(ref, a.left+answerLate+slack)
	if owner.get(ref).answer == nil {
		return fmt.Errorf("%w: a set-up got no answer in its time, although its task runs: %t", errBroken, w.hostOf(ref) != nil)
	}
	return nil
}

// eventAgain lets the change log break off after a host has begun to drain. The next stream begins with the first event
// once more. The rule is broken if the host gets set-ups later than the grace after it began to drain.
func eventAgain(r *run) error {
	w, err := newWorld(r, worldConfig{hosts: 2, life: time.Second, memoryMB: 128})
	if err != nil {
		return err
	}
	defer w.stop()
	time.Sleep(time.Second)
	h := w.hosts[0]
	toldAt := w.log.tell(inService(h, 0).as("terminating"))
	time.Sleep(time.Second)
	if r.trouble {
		w.log.breakOff(1)
	}
	return askWhileDraining(r, w, h, toldAt, drainGrace+slack)
}

// Shape of the scenario memory.
const (
	floodMemoryMB = 64
	floodClients  = 4
	floodEach     = 900
	floodText     = 15000 // bytes of each description
)

// memoryLimit lets some clients send hundreds of requests at once, each within the size of a message. The rule is broken
// if the placer takes more memory than its configuration grants, for which the platform kills it.
func memoryLimit(r *run) error {
	w, err := newWorld(r, worldConfig{hosts: 4, memoryMB: floodMemoryMB})
	if err != nil {
		return err
	}
	defer w.stop()
	for _, h := range w.hosts {
		h.setRefuse(func(*message) bool { return true })
	}
	for c := range floodClients {
		client := newOwner(r.rec, fmt.Sprintf("client%d", c), w.placer.addr)
		if err := client.connect(); err != nil {
			return err
		}
		a := smallAsk("keyed", uint64(c+1))
		a.text = strings.Repeat("x", floodText)
		for range floodEach {
			if !r.trouble {
				time.Sleep(5 * time.Millisecond)
			}
			client.send(a)
		}
	}
	time.Sleep(3 * time.Second)
	peak := peakMemory(w.placer.cmd.Process.Pid)
	r.rec.add("run", "resident memory of the placer: %.0f MB at its peak, %d MB granted", peak, floodMemoryMB)
	if peak > floodMemoryMB {
		return fmt.Errorf("%w: the placer takes %.0f MB of memory, %d MB are granted", errBroken, peak, floodMemoryMB)
	}
	return nil
}

// peakMemory returns the largest resident memory that a process has had, in MB.
func peakMemory(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if parts := strings.Fields(line); len(parts) > 1 && parts[0] == "VmHWM:" {
			kb, _ := strconv.ParseFloat(parts[1], 64)
			return kb / 1024
		}
	}
	return 0
}
