package main

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

const ledgerJob = `name: ledger
services:
  run:
    image: ledger:1
    x-forkhead: {class: ledger-batch, life: 3s}
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
    x-forkhead: {class: listing-svc}
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
      resources: {reservations: {cpus: "10", memory: 2gb}}
      placement: {max_replicas_per_node: 1}
`

// caseTwoCopies: a specification of one keyed task is edited, and edited again while the update waits for room. Without the
// trouble, the room is there before the first edit, so that the update is over when the second one comes. In the end the
// project is removed.
func caseTwoCopies(l *lab) (broken bool, err error) {
	s, err := l.newServiceWithFiller()
	if err != nil {
		return false, err
	}
	if !l.trouble {
		if err := s.removeProject("filler"); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	s.submit("k2", fmt.Sprintf(shop, 2, 24), 60*time.Second)
	time.Sleep(2 * time.Second)
	last := s.submit("k3", fmt.Sprintf(shop, 3, 2), 60*time.Second)
	if !last.await(10 * time.Second) {
		return false, errors.New("the last specification got no outcome")
	}
	time.Sleep(10 * time.Second) // longer than the 8 s for which hosts keep a key
	if l.trouble {
		if err := s.removeProject("filler"); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	running := l.runningImages("shop/front/1")
	l.record("check: the last specification has one task, front:3; what runs is %v", running)
	if err := s.removeProject("shop"); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	left := l.runningImages("shop/front/1")
	l.record("check: the project was removed 8 s ago; what runs of it is %v", left)
	repeats := l.sentBeyondWindow()
	for _, text := range repeats {
		l.record("check: %s", text)
	}
	return len(repeats) > 0, nil
}

// newServiceWithFiller starts a deployment with two hosts, on which front:1 and another project's tasks run. These leave no
// room for a task of 24 cores.
func (l *lab) newServiceWithFiller() (*service, error) {
	s, err := l.newService()
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"a", "b"} {
		if _, err := s.startHost(name, s.catalog, "-rack", "r-"+name); err != nil {
			return nil, err
		}
	}
	if err := s.awaitHosts(2); err != nil {
		return nil, err
	}
	for i, specification := range []string{fmt.Sprintf(shop, 1, 2), filler} {
		if sub := s.submit(fmt.Sprint("k", i), specification, 20*time.Second); !sub.await(10 * time.Second) {
			return nil, errors.New("the first tasks were not placed")
		}
	}
	return s, nil
}

const ledgerTask = `name: ledger
services:
  run:
    image: ledger:1
    x-forkhead: {class: ledger-batch, life: 30s}
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
	for _, name := range []string{"a", "b", "c", "d"} {
		if _, err := s.startHost(name, s.catalog, "-rack", "r-"+name); err != nil {
			return false, err
		}
	}
	large, err := s.startHost("e", s.catalog, "-kind", "large-56", "-cores", "56", "-memory", "128", "-start", "2s")
	if err != nil {
		return false, err
	}
	if err := s.awaitHosts(5); err != nil {
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

const listing = `name: lists
services:
  daily:
    image: daily:%d
    x-forkhead: {class: listing-svc}
    deploy:
      replicas: 2
      resources: {reservations: {cpus: "2", memory: 2gb}}
`

// caseMake: a placer is killed and started again, and its owner submits a new version. The list of hosts is always late by a
// second.
func caseMake(l *lab) (broken bool, err error) {
	s, err := l.newServiceWith(false, time.Second)
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
	if sub := s.submit("k1", fmt.Sprintf(listing, 1), 20*time.Second); !sub.await(10 * time.Second) {
		return false, errors.New("the first version was not placed")
	}
	time.Sleep(time.Second)
	if l.trouble {
		l.kill(s.process)
		time.Sleep(500 * time.Millisecond)
		if err := s.startPlacer(); err != nil {
			return false, err
		}
	}
	sub := s.submit("k2", fmt.Sprintf(listing, 2), 40*time.Second)
	if !sub.await(30 * time.Second) {
		return false, errors.New("the second version got no outcomes")
	}
	time.Sleep(10 * time.Second)
	if again := s.submit("k3", fmt.Sprintf(listing, 2), 20*time.Second); !again.await(10 * time.Second) {
		return false, errors.New("the second version, submitted again, got no outcomes")
	}
	time.Sleep(5 * time.Second)
	placed, wrong := 0, 0
	outcomes, _ := sub.read()
	for _, o := range outcomes {
		if o.Outcome != "placed" {
			continue
		}
		placed++
		running := l.runningImages(fmt.Sprintf("lists/daily/%d", o.Replica))
		l.record("check: replica %d of the second version was answered with %q at %s; what runs of it 15 s later is %v", o.Replica, o.Outcome, o.Host, running)
		if !slices.Contains(running, "daily:2") {
			wrong++
		}
	}
	return placed > 0 && wrong > 0, nil
}

const web = `name: shop
services:
  front:
    image: front:%d
    x-forkhead: {class: web}
    deploy:
      replicas: 3
      resources: {reservations: {cpus: "%d", memory: 2gb}}
      update_config: {order: start-first}
`

// caseStopped: an update that cannot be placed is stopped, so that the earlier version runs on. Then the placer is
// restarted as planned, with SIGTERM.
func caseStopped(l *lab) (broken bool, err error) {
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
	if sub := s.submit("k1", fmt.Sprintf(web, 1, 2), 20*time.Second); !sub.await(10 * time.Second) {
		return false, errors.New("the first version was not placed")
	}
	if sub := s.submit("k2", fmt.Sprintf(web, 2, 60), 60*time.Second); !sub.await(50 * time.Second) {
		return false, errors.New("the second version got no outcomes")
	}
	time.Sleep(3 * time.Second)
	if n := l.countRunning("shop/front/", "front:1"); n != 3 {
		return false, fmt.Errorf("%d tasks of the first version run before the trouble, want 3", n)
	}
	if l.trouble {
		if err := l.terminate(s.process); err != nil {
			return false, err
		}
		if err := s.startPlacer(); err != nil {
			return false, err
		}
	}
	time.Sleep(20 * time.Second)
	n := l.countRunning("shop/front/", "front:1")
	l.record("check: 3 tasks of front:1 were placed and ran, %d run now", n)
	return n < 3, nil
}
