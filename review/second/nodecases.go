package main

import (
	"cmp"
	"fmt"
	"slices"
	"syscall"
	"time"
)

// caseSlowLog: a new configuration names a change log that answers each request after 3 s. The host
// that has most set-ups begins to drain.
func caseSlowLog(l *lab) (broken bool, err error) {
	hosts, known, err := l.newPlatformHosts(4, 2*time.Second)
	if err != nil {
		return false, err
	}
	first, err := l.newChangeLog("log 1", 0, known)
	if err != nil {
		return false, err
	}
	delay := 3 * time.Second
	if !l.trouble {
		delay = 0
	}
	second, err := l.newChangeLog("log 2", delay, known)
	if err != nil {
		return false, err
	}
	p, err := l.startNode(first.listener.Addr().String(), known)
	if err != nil {
		return false, err
	}
	stop, asked := make(chan struct{}), make(chan error, 1)
	go func() { asked <- p.ask(40*time.Millisecond, stop) }()
	time.Sleep(3 * time.Second)
	if err := p.writeConfig(second.listener.Addr().String(), known); err != nil {
		return false, err
	}
	hangUp := time.Now()
	_ = p.process.command.Process.Signal(syscall.SIGHUP)
	l.record("the new configuration is in place; SIGHUP")
	first.end(1500 * time.Millisecond)
	time.Sleep(time.Second)
	drained := slices.MaxFunc(hosts, func(a, b *platformHost) int {
		return cmp.Compare(a.offersAfter(l.started), b.offersAfter(l.started))
	})
	second.add(fleetEvent(2, false, drained.entry("terminating")))
	l.record("event 2 is in the change log: host %s drains", drained.name)
	time.Sleep(20 * time.Second)
	close(stop)
	if err := <-asked; err != nil {
		return false, err
	}
	// What the change log has to tell counts as told 4 s after SIGHUP; the grace is 250 ms, and limits grow by 50 ms.
	late := drained.offersAfter(hangUp.Add(4*time.Second + 250*time.Millisecond + 50*time.Millisecond))
	l.record("check: host %s got %d set-ups later than 4.3 s after SIGHUP", drained.name, late)
	return late > 0, nil
}

// newPlatformHosts starts hosts of the platform, each of whose tasks runs for some time, and returns the list that has them.
func (l *lab) newPlatformHosts(count int, runFor time.Duration) (hosts []*platformHost, known []object, err error) {
	var entries []object
	for i := range count {
		h, err := l.newPlatformHost(fmt.Sprintf("s-%08x", i+1), runFor)
		if err != nil {
			return nil, nil, err
		}
		hosts, entries = append(hosts, h), append(entries, h.entry("in_service"))
	}
	return hosts, []object{fleetEvent(1, true, entries...)}, nil
}
