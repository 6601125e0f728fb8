package main

import (
	"errors"
	"fmt"
	"time"
)

const ledgerJob = `name: ledger
services:
  run:
    image: ledger:1
    x-forkhead: {class: ledger-run, life: 3s}
    deploy:
      mode: replicated-job
      replicas: 1
      resources: {reservations: {cpus: "2", memory: 2gb}}
      restart_policy: {condition: none}
`

// caseRerun: a task that must never be started twice runs to its end while its placer is down.
func caseRerun(l *lab) (broken bool, err error) {
	s, err := l.newService()
	if err != nil {
		return false, err
	}
	for _, name := range []string{"a", "b"} {
		if _, err := s.startHost(name, s.catalog, "-kind", "large-56", "-cores", "56", "-memory", "128", "-rack", "r-"+name); err != nil {
			return false, err
		}
	}
	if err := s.awaitHosts(2); err != nil {
		return false, err
	}
	sub := s.submit("k1", ledgerJob, 30*time.Second)
	if !sub.await(10 * time.Second) {
		return false, errors.New("the task was not placed")
	}
	if l.trouble {
		l.kill(s.process)
	}
	if err := l.awaitEvents("over", "ledger/run/1", 1, 10*time.Second); err != nil {
		return false, err
	}
	if l.trouble {
		time.Sleep(2 * time.Second)
		if err := s.startPlacer(); err != nil {
			return false, err
		}
	}
	time.Sleep(12 * time.Second)
	launched := l.countEvents("launched", "ledger/run/1")
	l.record("check: the task, of a class that must never be started twice, was launched %d times", launched)
	return launched > 1, nil
}

const calendar = `name: night
services:
  calendar:
    image: calendar:%d
    x-forkhead: {class: calendar-batch, life: 60s}
    deploy:
      replicas: 2
      resources: {reservations: {cpus: "6", memory: 12gb}}
`

// caseUnanswered: a specification is edited while its tasks wait for hosts, and the placer is killed and started again. The
// client sends the edited specification again under its key.
func caseUnanswered(l *lab) (broken bool, err error) {
	s, err := l.newService()
	if err != nil {
		return false, err
	}
	if _, err := s.startHost("a", s.catalog); err != nil {
		return false, err
	}
	if err := s.awaitHosts(1); err != nil {
		return false, err
	}
	s.submit("k1", fmt.Sprintf(calendar, 1), 60*time.Second)
	time.Sleep(time.Second)
	edited := s.submit("k2", fmt.Sprintf(calendar, 2), 60*time.Second)
	time.Sleep(time.Second)
	if l.trouble {
		l.kill(s.process)
		time.Sleep(500 * time.Millisecond)
		if err := s.startPlacer(); err != nil {
			return false, err
		}
		edited = s.submit("k2", fmt.Sprintf(calendar, 2), 60*time.Second)
	}
	time.Sleep(time.Second)
	if _, err := s.startHost("b", s.catalog, "-kind", "large-56", "-cores", "56", "-memory", "128"); err != nil {
		return false, err
	}
	// The owner waits for 12 s, the patience of the class, and the check for 20 s more.
	edited.await(32 * time.Second)
	edited.mu.Lock()
	accepted := edited.status == 200
	edited.mu.Unlock()
	if !accepted {
		return false, errors.New("the placer did not accept the edited specification")
	}
	outcomes, complete := edited.read()
	l.record("check: the edited submission of 2 tasks was accepted; it got %d outcomes, complete: %v", len(outcomes), complete)
	return len(outcomes) < 2 || !complete, nil
}

const shop = `name: shop
services:
  front:
    image: front:%d
    x-forkhead: {class: web}
    deploy:
      replicas: 1
      resources: {reservations: {cpus: "%d", memory: 2gb}}
      update_config: {order: start-first}
`

const filler = `name: filler
services:
  other:
    image: other:1
    x-forkhead: {class: web}
    deploy:
      replicas: 2
      resources: {reservations: {cpus: "20", memory: 2gb}}
      placement: {max_replicas_per_node: 1}
`

// caseRevert: a specification is edited, and edited back while the update waits for room. Without the trouble, the room is
// there before the edit, so that the update is over when the specification is edited back.
func caseRevert(l *lab) (broken bool, err error) {
	s, err := l.newService()
	if err != nil {
		return false, err
	}
	for _, name := range []string{"a", "b"} {
		if _, err := s.startHost(name, s.catalog, "-rack", "r-"+name); err != nil {
			return false, err
		}
	}
	if err := s.awaitHosts(2); err != nil {
		return false, err
	}
	steps := []string{fmt.Sprintf(shop, 1, 2), filler}
	for i, specification := range steps {
		if sub := s.submit(fmt.Sprint("k", i), specification, 20*time.Second); !sub.await(10 * time.Second) {
			return false, errors.New("the first tasks were not placed")
		}
	}
	if !l.trouble {
		if err := s.removeProject("filler"); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	s.submit("update", fmt.Sprintf(shop, 2, 24), 60*time.Second)
	time.Sleep(2 * time.Second)
	reverted := s.submit("revert", fmt.Sprintf(shop, 1, 2), 60*time.Second)
	if !reverted.await(10 * time.Second) {
		return false, errors.New("the specification that was edited back got no outcome")
	}
	outcomes, _ := reverted.read()
	if len(outcomes) != 1 || outcomes[0].Outcome != "placed" {
		return false, errors.New("the specification that was edited back was not placed")
	}
	time.Sleep(time.Second)
	if l.trouble {
		if err := s.removeProject("filler"); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	running := l.runningImages("shop/front/1")
	l.record("check: the last specification has front:1, answered with %q (%s); what runs is %v", outcomes[0].Outcome, outcomes[0].Reason, running)
	return len(running) != 1 || running[0] != "front:1", nil
}

const ledgerTask = `name: ledger
services:
  run:
    image: ledger:1
    x-forkhead: {class: ledger-run, life: 30s}
    deploy:
      replicas: 1
      resources: {reservations: {cpus: "2", memory: 2gb}}
`

// caseRefused: a host dies while it starts a task that must never be started twice.
func caseRefused(l *lab) (broken bool, err error) {
	s, err := l.newService()
	if err != nil {
		return false, err
	}
	for _, name := range []string{"a", "b", "c"} {
		if _, err := s.startHost(name, s.catalog, "-rack", "r-"+name); err != nil {
			return false, err
		}
	}
	large, err := s.startHost("d", s.catalog, "-kind", "large-56", "-cores", "56", "-memory", "128", "-start", "2s")
	if err != nil {
		return false, err
	}
	if err := s.awaitHosts(4); err != nil {
		return false, err
	}
	sub := s.submit("k1", ledgerTask, 60*time.Second)
	if err := l.awaitEvents("launched", "ledger/run/1", 1, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if l.trouble {
		l.kill(large)
	}
	if !sub.await(30 * time.Second) {
		return false, errors.New("the task got no outcome")
	}
	outcomes, _ := sub.read()
	if len(outcomes) != 1 {
		return false, errors.New("the task got no outcome")
	}
	launched := l.countEvents("launched", "ledger/run/1")
	l.record("check: the task was launched %d times; its outcome is %q", launched, outcomes[0].Outcome)
	return launched > 0 && outcomes[0].Outcome == "refused", nil
}
