package chaos

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// deleteTimeout bounds the wait for the reply to the deletion of a project.
const deleteTimeout = 5 * time.Second

// raiseLoad multiplies the rates of all loads by the fault's factor.
func (r *runner) raiseLoad(f *activeFault) {
	r.loadPerMille.Store(uint64(normalLoadPerMille * f.Factor))
	r.sleep(f.Duration)
	r.loadPerMille.Store(normalLoadPerMille)
}

func (r *runner) breakStreams(f *activeFault) { r.during(f, r.disconnectClients.Store) }

func (r *runner) slowReading(f *activeFault) { r.during(f, r.slowReaders.Store) }

// resubmitProjects deletes some of the running projects and submits each of them again, as their owners would.
func (r *runner) resubmitProjects(f *activeFault) {
	httpClient := &http.Client{Timeout: deleteTimeout}
	defer httpClient.CloseIdleConnections()
	for _, p := range r.projects.draw(f.rng, f.Factor) {
		r.deleteProject(httpClient, p)
		r.workers.Go(func() { r.submit(p, 1) })
	}
}

// deleteProject deletes a project. It ignores a failure: the project is submitted again in any case.
func (r *runner) deleteProject(httpClient *http.Client, p project) {
	ctx, cancel := context.WithTimeout(r.ctx, deleteTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/projects/%s", r.cluster.Settings.Placers[p.placer].HTTPAddress, p.name)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return
	}
	if resp, err := httpClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
