package chaos

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"forkhead"
	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/verify/scenario"
)

const (
	bugSettleTime      = 500 * time.Millisecond // wait until the last frames have reached the hosts
	helloSettleTime    = 100 * time.Millisecond // wait until the Hello frame has reached a host
	repeatedOfferPause = 500 * time.Millisecond // time between two offers of one task
	drainMargin        = 500 * time.Millisecond // time after the end of a draining host's grace period
	floodOffers        = 5000                   // number of offers to a host in its slow start
)

// The tasks that a misbehaving placer offers.
var (
	repeatedTask   = offeredTask{key: 77, service: 78}
	drainTask      = offeredTask{key: 5, service: 6}
	firstFloodTask = offeredTask{key: 1000, service: 7}
	firstSpread    = offeredTask{key: 100, service: 99}
)

// bugInjectors holds the method that commits each injected bug.
var bugInjectors = map[scenario.InjectedBug]func(*runner, *misbehavingPlacer) error{
	scenario.BugTwoOutcomes:        (*runner).reportTwoOutcomes,
	scenario.BugRepeatedOffer:      (*runner).repeatUnsafeOffer,
	scenario.BugOfferWhileDraining: (*runner).offerToDrainingHost,
	scenario.BugSlowStartOverload:  (*runner).overloadStartedHost,
	scenario.BugSpreadExceeded:     (*runner).exceedSpreadLimit,
}

// injectBug breaks a rule on the sockets, to show that the checker detects it.
func (r *runner) injectBug(bug scenario.InjectedBug) error {
	p := newMisbehavingPlacer()
	defer p.close()
	if err := bugInjectors[bug](r, p); err != nil {
		return err
	}
	r.sleep(bugSettleTime)
	return nil
}

// reportTwoOutcomes makes clients read two outcomes of a task.
func (r *runner) reportTwoOutcomes(*misbehavingPlacer) error {
	r.duplicateOutcomes.Store(true)
	return nil
}

// repeatUnsafeOffer offers one task of a class with an unsafe effect to two hosts.
func (r *runner) repeatUnsafeOffer(p *misbehavingPlacer) error {
	class, _ := r.findClass(func(c *forkhead.Class) bool { return c.Effect == forkhead.Unsafe })
	for _, h := range r.cluster.Hosts[:2] {
		if err := p.offer(h, class, repeatedTask); err != nil {
			return err
		}
		r.sleep(repeatedOfferPause)
	}
	return nil
}

// offerToDrainingHost offers a task to a host that has been draining for longer than the grace period.
func (r *runner) offerToDrainingHost(p *misbehavingPlacer) error {
	host := r.cluster.Hosts[0]
	if _, err := p.connect(host); err != nil {
		return err
	}
	r.sleep(helloSettleTime)
	host.With(func(h *hostmodel.Host, now time.Duration) []hostmodel.Output { return h.Drain(now, true, false) })
	r.sleep(r.scenario.Settings.Module.DrainGrace + drainMargin)
	return p.offer(host, r.scenario.Settings.Classes[0].Name, drainTask)
}

// overloadStartedHost offers a host in its slow start so many tasks that it is overloaded.
func (r *runner) overloadStartedHost(p *misbehavingPlacer) error {
	host := r.cluster.Hosts[0]
	host.Kill()
	if err := host.Restart(true); err != nil {
		return err
	}
	for n := range floodOffers {
		if err := p.offer(host, r.scenario.Settings.Classes[0].Name, firstFloodTask.plus(n)); err != nil {
			break // the host has crashed from overload
		}
	}
	return nil
}

// exceedSpreadLimit offers a host one more task of a class than the class allows in the host's domain.
func (r *runner) exceedSpreadLimit(p *misbehavingPlacer) error {
	class, i := r.findClass(func(c *forkhead.Class) bool { return c.SpreadDomain != forkhead.AnyDomain })
	for n := range r.scenario.Settings.Module.Classes[i].MaxPerDomain + 1 {
		if err := p.offer(r.cluster.Hosts[0], class, firstSpread.plus(n)); err != nil {
			return err
		}
	}
	return nil
}

// findClass returns the name and the index of the first suitable class, or of the first class if none is suitable.
func (r *runner) findClass(suitable func(c *forkhead.Class) bool) (name string, index int) {
	set := r.scenario.Settings
	for i, c := range set.Classes {
		if suitable(&set.Module.Classes[i]) {
			return c.Name, i
		}
	}
	return set.Classes[0].Name, 0
}

// duplicatingTransport imitates a server that reports two outcomes of one task: it appends a copy of the first outcome
// to each response, with the result changed to failed.
type duplicatingTransport struct{ http.RoundTripper }

// RoundTrip performs the request, reads the whole response and appends the changed outcome.
func (t duplicatingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil || resp.StatusCode != http.StatusOK {
		return resp, err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return nil, err
	}
	line, _, _ := bytes.Cut(body, []byte("\n"))
	failed := bytes.Replace(line, []byte(`"outcome":"placed"`), []byte(`"outcome":"failed"`), 1)
	resp.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), bytes.NewReader(append(failed, '\n'))))
	return resp, nil
}
