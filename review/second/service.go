package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// service is a small deployment of the service: a catalog, a placer with its state on disk, and hosts.
type service struct {
	*lab
	catalog, placer string // addresses
	settings        string // file
	store           bool   // whether the placer keeps its state on disk
	process         *process
	starts          int
}

// settingsText holds the settings of the deployment: two kinds of hosts and a class of each effect. A task of ledger-batch
// must never be started twice.
const settingsText = `(forkhead
  (placer (zone north) (http %q) (tell %q))
  (kind std-28 (cores 28) (memory 64GiB))
  (kind large-56 (cores 56) (memory 128GiB))
  (class web (effect safe) (aim 800ms) (wait 4s) (patience 20s))
  (class listing-svc (effect keyed) (group anywhere) (window 8s) (aim 800ms) (wait 4s) (patience 40s) (worth 2))
  (class calendar-batch (effect safe) (kind large-56) (priority 1) (aim 4s) (wait 4s) (patience 12s) (worth 6))
  (class ledger-batch (effect unsafe) (kind large-56) (aim 5s) (wait 5s) (patience 12s) (worth 4))
  (default-class web)
  (mean-cores 1) (mean-memory 2GiB)
  (bound running)
  (cold (for 6s) (window 1s) (offers 24) (from 0.25) (multiple 4))
  (%s (address %q)))
`

// catalogWord is the word for the catalog in the settings and in the name of the command.
const catalogWord = "catalogue" //nolint:misspell // the word's spelling there

// newService starts the catalog and the placer, which keeps its state on disk.
func (l *lab) newService() (*service, error) { return l.newServiceWith(true, 0) }

// newServiceWith starts the catalog and the placer. The catalog answers the placer late by listDelay.
func (l *lab) newServiceWith(store bool, listDelay time.Duration) (*service, error) {
	s := &service{lab: l, settings: filepath.Join(l.dir, "settings.sexp"), store: store}
	var err error
	if s.catalog, err = freePort(); err != nil {
		return nil, err
	}
	if s.placer, err = freePort(); err != nil {
		return nil, err
	}
	gossip, err := freePort()
	if err != nil {
		return nil, err
	}
	list, err := s.delayList(listDelay)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(s.settings, fmt.Appendf(nil, settingsText, s.placer, gossip, catalogWord, list), 0o600); err != nil {
		return nil, err
	}
	catalog, err := l.start("catalog", nil, program("forkhead"), catalogWord, "--listen", s.catalog)
	if err != nil {
		return nil, err
	}
	if err := l.awaitListener(catalog, s.catalog); err != nil {
		return nil, err
	}
	return s, s.startPlacer()
}

// delayList returns the address at which the placer reads the list of hosts, with each answer late by a delay.
func (s *service) delayList(delay time.Duration) (string, error) {
	if delay == 0 {
		return s.catalog, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.catalog})
	proxy.ModifyResponse = func(*http.Response) error {
		time.Sleep(delay)
		return nil
	}
	go func() { _ = http.Serve(listener, proxy) }()
	return listener.Addr().String(), nil
}

// startPlacer starts the placer with the state that an earlier process of it has left.
func (s *service) startPlacer() error {
	var err error
	s.starts++
	command := []string{program("forkhead"), "serve", "--log", "info", "--config", s.settings}
	if s.store {
		command = append(command, "--store", filepath.Join(s.dir, "placer.db"))
	}
	s.process, err = s.start(fmt.Sprint("placer-", s.starts), nil, command...)
	if err != nil {
		return err
	}
	return s.awaitListener(s.process, s.placer)
}

// awaitHosts waits until the placer is connected to so many ready hosts.
func (s *service) awaitHosts(count int) error {
	for range 500 {
		status, err := s.status()
		if err == nil && status.HostsUp >= count && status.HostsReady >= count {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("the placer does not see %d hosts", count)
}

// placerStatus is what a case reads of the placer's status.
type placerStatus struct {
	HostsUp     int `json:"hosts_up"`
	HostsReady  int `json:"hosts_ready"`
	TasksPlaced int `json:"tasks_placed"`
}

func (s *service) status() (placerStatus, error) {
	var status placerStatus
	response, err := http.Get("http://" + s.placer + "/v1/status")
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// outcome is an outcome of a task as a client reads it.
type outcome struct {
	Service string `json:"service"`
	Replica int    `json:"replica"`
	Outcome string `json:"outcome"`
	Host    string `json:"host"`
	Reason  string `json:"reason"`
}

// submission is a client's submission with the outcomes that it has read.
type submission struct {
	done chan struct{} // closed when the stream has ended

	mu       sync.Mutex // guards the fields below
	outcomes []outcome
	status   int  // of the response
	complete bool // the stream has ended as a whole stream does
}

func (s *submission) read() (outcomes []outcome, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]outcome(nil), s.outcomes...), s.complete
}

// submit sends a specification under a key and reads its outcomes until the stream ends or the time is over.
func (s *service) submit(key, specification string, patience time.Duration) *submission {
	sub := &submission{done: make(chan struct{})}
	s.record("client: submits under key %s: %s", key, strings.Join(strings.Fields(specification), " "))
	go func() {
		defer close(sub.done)
		err := s.follow(sub, key, specification, patience)
		s.record("client: stream of key %s ended: %v", key, err)
	}()
	return sub
}

func (s *service) follow(sub *submission, key, specification string, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.placer+"/v1/submissions", strings.NewReader(specification))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/yaml")
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	s.record("client: key %s: %s, %s", key, response.Status, response.Header.Get("Location"))
	sub.mu.Lock()
	sub.status = response.StatusCode
	sub.mu.Unlock()
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			sub.mu.Lock()
			sub.complete = errors.Is(err, io.EOF) && response.StatusCode == http.StatusOK
			sub.mu.Unlock()
			return err
		}
		var o outcome
		if err := json.Unmarshal(line, &o); err != nil {
			return fmt.Errorf("an outcome cannot be read: %w", err)
		}
		s.record("client: key %s: %s", key, strings.TrimSpace(string(line)))
		sub.mu.Lock()
		sub.outcomes = append(sub.outcomes, o)
		sub.mu.Unlock()
	}
}

// await waits until a stream has ended, for at most the time given.
func (s *submission) await(limit time.Duration) (ended bool) {
	select {
	case <-s.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// removeProject asks the placer to stop a project.
func (s *service) removeProject(name string) error {
	request, err := http.NewRequest(http.MethodDelete, "http://"+s.placer+"/v1/projects/"+name, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	s.record("client: removes project %s: %s", name, response.Status)
	return response.Body.Close()
}

// countEvents returns how many events of a kind the hosts have logged for a task.
func (l *lab) countEvents(what, task string) int {
	n := 0
	for _, e := range l.hostEvents() {
		if e.What == what && e.Task == task {
			n++
		}
	}
	return n
}

// awaitEvents waits until the hosts have logged so many events of a kind for a task.
func (l *lab) awaitEvents(what, task string, count int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if l.countEvents(what, task) >= count {
			return nil
		}
	}
	return fmt.Errorf("%d times %s of %s did not come within %v", count, what, task, limit)
}

// runningImages returns the images of a task that run now, by the hosts' logs.
func (l *lab) runningImages(task string) []string {
	counts := map[string]int{}
	for _, e := range l.hostEvents() {
		if e.Task != task {
			continue
		}
		switch e.What {
		case "launched":
			counts[e.Image]++
		case "over":
			counts[e.Image]--
		}
	}
	var running []string
	for _, image := range slices.Sorted(maps.Keys(counts)) {
		for range counts[image] {
			running = append(running, image)
		}
	}
	return running
}

// dedupWindow is the time for which hosts keep a key, by the settings, and slack what the check allows beyond it.
const dedupWindow, slack = 8 * time.Second, 50 * time.Millisecond

// sentBeyondWindow returns the offers of a key that came more than dedupWindow after an earlier offer of it, while the task of
// that earlier offer ran.
func (l *lab) sentBeyondWindow() []string {
	type place struct{ host, task, image string }
	placeOf := func(e *hostEvent) place { return place{e.Host, e.Task, e.Image} }
	runs := map[place]int{}
	offers := map[string][]hostEvent{} // by key
	var found []string
	for _, e := range l.hostEvents() {
		switch e.What {
		case "launched":
			runs[placeOf(&e)]++
		case "over":
			runs[placeOf(&e)]--
		case "offered":
			for _, earlier := range offers[e.Key] {
				if runs[placeOf(&earlier)] > 0 && e.time().Sub(earlier.time()) > dedupWindow+slack {
					found = append(found, fmt.Sprintf("key %s was sent to %s as %s, %.1f s after it was sent to %s as %s, which runs there",
						e.Key, e.Host, e.Image, e.time().Sub(earlier.time()).Seconds(), earlier.Host, earlier.Image))
				}
			}
			offers[e.Key] = append(offers[e.Key], e)
		}
	}
	return found
}

// countRunning returns how many tasks run whose names begin with a prefix and that have an image, by the hosts' logs.
func (l *lab) countRunning(prefix, image string) int {
	n := 0
	for _, e := range l.hostEvents() {
		if !strings.HasPrefix(e.Task, prefix) || e.Image != image {
			continue
		}
		switch e.What {
		case "launched":
			n++
		case "over":
			n--
		}
	}
	return n
}
