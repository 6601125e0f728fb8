package main

import (
	"fmt"
	"time"
)

// Times that the settings state, with the slack of 50 ms that the protocol page adds to each limit.
const (
	slack      = 50 * time.Millisecond
	drainGrace = 250 * time.Millisecond
	releaseIn  = 8 * time.Second
	answerLate = 500 * time.Millisecond // until then an answer that is late is not lost
)

// world is a small deployment: hosts, their list and one placer.
type world struct {
	hosts  []*host
	log    *changeLog
	placer *placer
}

// worldConfig says what differs between the deployments of the cases.
type worldConfig struct {
	hosts    int
	life     time.Duration // how long tasks run; 0: until they are released
	logDelay time.Duration // time in which the change log answers a request
	memoryMB int
	full     int // further hosts of the list, which have no room
}

func newWorld(r *run, cfg worldConfig) (*world, error) {
	w := &world{}
	if err := w.start(r, cfg); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

func (w *world) start(r *run, cfg worldConfig) (err error) {
	var list fleet
	for i := range cfg.hosts {
		h, err := startHost(r.rec, fmt.Sprintf("s-%08x", 0x100+i))
		if err != nil {
			return err
		}
		h.life = cfg.life
		w.hosts = append(w.hosts, h)
		list.Hosts = append(list.Hosts, inService(h, i))
	}
	for i := range cfg.full {
		e := inService(w.hosts[0], cfg.hosts+i)
		e.Host, e.Free = fmt.Sprintf("s-%08x", 0x1000+i), []float64{0, 0}
		list.Hosts = append(list.Hosts, e)
	}
	if w.log, err = startChangeLog(r.rec, list); err != nil {
		return err
	}
	w.log.setDelay(cfg.logDelay)
	w.placer, err = startPlacer(r.rec, &placerConfig{
		root: r.root, folder: r.folder, memoryMB: cfg.memoryMB, sockets: 1024, settings: settings(), log: w.log,
	})
	return err
}

func (w *world) stop() {
	if w.placer != nil {
		w.placer.stop()
	}
	if w.log != nil {
		w.log.stop()
	}
	for _, h := range w.hosts {
		h.stop()
	}
}

// hostOf returns the host that runs a task, or nil if none does.
func (w *world) hostOf(ref string) *host {
	for _, h := range w.hosts {
		if h.runs(ref) {
			return h
		}
	}
	return nil
}

// smallAsk is a set-up that fits on each host.
func smallAsk(class string, service uint64) ask {
	return ask{class: class, left: 5 * time.Second, service: service, cores: 0.5, memory: 1, text: "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1"}
}
