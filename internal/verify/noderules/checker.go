package noderules

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/protocol/platform"
)

// checker holds the state of a check.
type checker struct {
	cfg             *Config
	requests        map[string]*request // by ref
	refs            []string            // keys of requests, sorted
	hosts           map[int]*hostRecord // by number
	hostNumbers     []int
	withdrawn       map[withdrawal]bool
	placerStartedAt map[int]time.Duration // start of each placer's current incarnation
	lastFaultAt     map[int]time.Duration // by number of the host: when a fault last began or ended
	notReading      map[int][]Stall       // by number of the owner: when a fault kept it from reading
	lastAt          time.Duration
	parallel        []parallelAttempts
	breaches        []Breach
}

func newChecker(cfg *Config, reports [][]platformmodel.RequestReport) *checker {
	c := &checker{
		cfg: cfg, requests: map[string]*request{}, hosts: map[int]*hostRecord{},
		withdrawn: map[withdrawal]bool{}, placerStartedAt: map[int]time.Duration{}, lastFaultAt: map[int]time.Duration{},
		notReading: map[int][]Stall{},
	}
	for i := range cfg.Platform.Hosts {
		c.hosts[i] = newHostRecord()
		c.hostNumbers = append(c.hostNumbers, i)
	}
	for i := range reports {
		for j := range reports[i] {
			report := &reports[i][j]
			for _, ref := range report.Refs {
				c.requests[ref] = &request{
					ref: ref, report: report, class: cfg.Classes[report.Request.Class], placer: report.Request.Placer,
					usedConns: map[platformmodel.ConnID]bool{}, releasedOn: map[platformmodel.ConnID]bool{},
				}
				c.refs = append(c.refs, ref)
			}
		}
	}
	slices.Sort(c.refs)
	return c
}

// handle applies an entry of the journal.
func (c *checker) handle(e *entry) {
	c.lastAt = e.At
	switch e.Event {
	case platformmodel.RecordPlacerStarted:
		c.placerStartedAt[e.Placer] = e.At
		for _, h := range c.hosts { // its initial list, which the journal does not have, replaces what it was notified of
			delete(h.drainingAt, e.Placer)
			delete(h.startKnown, e.Placer)
		}
		return
	case platformmodel.RecordPlacerStopped:
		return
	}
	switch e.Party.Kind {
	case platformmodel.HostParty:
		if e.Event == platformmodel.RecordFaultBegan || e.Event == platformmodel.RecordFaultEnded {
			c.lastFaultAt[e.Party.Number] = e.At
		}
		if e.direction == readFromPlacer && e.message.Type == platform.TypeRelease {
			withdrawn := withdrawal{e.Conn, e.message.Ref}
			c.withdrawn[withdrawn] = true
			c.giveUp(e.At, func(w withdrawal) bool { return w == withdrawn })
		}
		c.handleAtHost(e)
	case platformmodel.OwnerParty:
		c.handleAtOwner(e)
	case platformmodel.EndpointLogParty:
		if e.Event == platformmodel.RecordWritten {
			c.handleListWritten(e)
		}
	}
}

func (c *checker) breach(e *entry, rule Rule, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{e.At, rule, e.message.Ref, fmt.Sprintf(format, args...)})
}

func isHandOver(extras string) bool {
	return strings.Contains(";"+extras, ";"+string(platform.ExtraHost)+":")
}
