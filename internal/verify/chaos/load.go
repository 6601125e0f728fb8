package chaos

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"forkhead/internal/verify/scenario"
)

const (
	normalLoadPerMille = 1000
	loadSeedFactor     = 7919 // keeps the random draws of loads independent of those of faults
)

// project is a submission of one service.
type project struct {
	name    string
	placer  int // number of the placer that the project is submitted to
	compose string
	load    *scenario.Load
	tasks   int
}

// generateLoad submits the projects of a load at exponentially distributed intervals.
func (r *runner) generateLoad(load *scenario.Load, index uint64) {
	rng := rand.New(rand.NewPCG(uint64(r.scenario.Seed)*loadSeedFactor, index))
	if !r.sleep(load.From) {
		return
	}
	for i := 0; time.Since(r.start) < min(load.To, r.scenario.Length); i++ {
		rate := load.Rate * float64(r.loadPerMille.Load()) / normalLoadPerMille
		if !r.sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
			return
		}
		p := drawProject(rng, load)
		p.name = fmt.Sprintf("%s-%d", load.Name, i)
		p.placer = rng.IntN(r.cluster.PlacerCount())
		r.workers.Go(func() { r.submit(p, 0) })
	}
}

// drawProject draws the size of a project from the ranges of its load.
func drawProject(rng *rand.Rand, load *scenario.Load) project {
	tasks := load.Replicas[0] + rng.IntN(load.Replicas[1]-load.Replicas[0]+1)
	duration := load.TaskDuration[0] + time.Duration(rng.Float64()*float64(load.TaskDuration[1]-load.TaskDuration[0]))
	cores := drawBetween(rng, load.Cores)
	memory := drawBetween(rng, load.Memory)
	return project{load: load, tasks: tasks, compose: composeFile(load, tasks, duration, cores, memory)}
}

func drawBetween(rng *rand.Rand, bounds [2]float64) float64 {
	return bounds[0] + rng.Float64()*(bounds[1]-bounds[0])
}

// composeFile returns a Compose file of one service. memory is in GiB per task.
func composeFile(load *scenario.Load, tasks int, duration time.Duration, cores, memory float64) string {
	tenant := ""
	if load.Tenant != "" {
		tenant = ", tenant: " + load.Tenant
	}
	return fmt.Sprintf(`services:
  %s:
    image: registry.example/%s:1
    restart: "no"
    x-forkhead: {class: %s, life: %dms%s}
    deploy:
      replicas: %d
      resources: {reservations: {cpus: "%.2f", memory: %dm}}
`, load.Name, load.Name, load.Class, duration.Milliseconds(), tenant, tasks, cores, int(memory*1024))
}

// projectSet holds the projects whose tasks are expected to be running. It is safe for concurrent use.
type projectSet struct {
	mu     sync.Mutex
	byName map[string]project
}

func newProjectSet() projectSet { return projectSet{byName: map[string]project{}} }

func (s *projectSet) add(p project) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byName[p.name] = p
}

func (s *projectSet) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byName, name)
}

// draw draws each project with a probability of share, from 0 to 1. The seed does not determine which projects are
// drawn, because the iteration order of a map varies.
func (s *projectSet) draw(rng *rand.Rand, share float64) []project {
	s.mu.Lock()
	defer s.mu.Unlock()
	var drawn []project
	for _, p := range s.byName {
		if rng.Float64() < share {
			drawn = append(drawn, p)
		}
	}
	return drawn
}
