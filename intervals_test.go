package forkhead

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// loadShares returns, for each of n intervals, its share of the load of the sizes.
func loadShares(histogram *sizeHistogram, sizes []float64, n int) []float64 {
	shares, total := make([]float64, n), 0.0
	for i, size := range sizes {
		interval := int(histogram.loadPosition(size, 1, hash64(uint64(i))) * float64(n))
		shares[interval] += size
		total += size
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

func TestSizeIntervalsCarryEqualLoad(t *testing.T) {
	mixes := map[string]func(rng *rand.Rand) float64{
		"one size":    func(*rand.Rand) float64 { return 2 },
		"two sizes":   func(rng *rand.Rand) float64 { return []float64{0.5, 8}[rng.IntN(2)] },
		"exponential": func(rng *rand.Rand) float64 { return rng.ExpFloat64() + 0.01 },
		"many sizes":  func(rng *rand.Rand) float64 { return float64(1+rng.IntN(20)) / 4 },
	}
	for name, draw := range mixes {
		for _, n := range []int{2, 3, 4} {
			var histogram sizeHistogram
			rng, sizes := rand.New(rand.NewPCG(1, 2)), make([]float64, 20*sizeHistory)
			for i := range sizes {
				sizes[i] = draw(rng)
				histogram.add(sizes[i])
			}
			for i, load := range loadShares(&histogram, sizes, n) {
				if math.Abs(load-1/float64(n)) > 0.04 {
					t.Errorf("%s: load share of interval %d of %d = %.3f, want %.3f", name, i, n, load, 1/float64(n))
				}
			}
		}
	}
}

func TestSizeHistogramOrdersSizes(t *testing.T) {
	sizes := []float64{0.25, 0.5, 1, 2, 4, 8, 16}
	var histogram sizeHistogram
	for _, size := range sizes {
		for range 100 {
			histogram.add(size)
		}
	}
	last := -1.0
	for _, size := range sizes {
		position := histogram.loadPosition(size, 1, 99)
		if position <= last {
			t.Errorf("loadPosition(%g) = %g, want above %g, the position of the size before",
				size, position, last)
		}
		last = position
	}
}

func TestSizeHistogramSplitsAtConfiguredMeanFirst(t *testing.T) {
	var histogram sizeHistogram
	for service := range uint64(200) {
		if position := histogram.loadPosition(0.5, 1, service); position >= 0.5 {
			t.Fatalf("loadPosition(0.5) without data, mean 1, service %d = %g, want below 0.5", service, position)
		}
		if position := histogram.loadPosition(1, 1, service); position < 0.5 {
			t.Fatalf("loadPosition(1) without data, mean 1, service %d = %g, want at least 0.5", service, position)
		}
	}
}

func TestSizeHistogramDecaysByCount(t *testing.T) {
	var histogram sizeHistogram
	for range 10 * sizeHistory {
		histogram.add(1)
	}
	for range 10 * sizeHistory {
		histogram.add(2)
	}
	if old := histogram.load[sizeBucket(1)]; old > 0.1 || math.Abs(histogram.total-2*sizeHistory) > 2 {
		t.Errorf("after %d tasks of size 2: got load %g of size 1 and total %g, want at most 0.1 and about %d",
			10*sizeHistory, old, histogram.total, 2*sizeHistory)
	}
}

// Placers that each see few tasks must still learn the distribution of sizes, instead of relying on the
// configured mean, and must select the same groups.
func TestSizeHistogramsWithFewSamplesAgree(t *testing.T) {
	sizes := []float64{0.5, 0.5, 0.5, 1, 1, 1.5, 8}
	var histograms []*sizeHistogram // one histogram per placer
	for seed := range uint64(130) {
		rng, histogram := rand.New(rand.NewPCG(seed, 3)), &sizeHistogram{}
		for range 40 {
			histogram.add(sizes[rng.IntN(len(sizes))])
		}
		histograms = append(histograms, histogram)
	}
	var complete, empty sizeHistogram
	for range 1000 {
		for _, size := range sizes {
			complete.add(size)
		}
	}
	for service := range uint64(50) {
		for _, size := range sizes {
			truth, configured := complete.loadPosition(size, 2, service), empty.loadPosition(size, 2, service)
			mean, farOff := 0.0, 0
			for _, histogram := range histograms {
				position := histogram.loadPosition(size, 2, service)
				mean += position / float64(len(histograms))
				if math.Abs(position-truth) > 1./maxIntervals {
					farOff++
				}
			}
			if farOff > len(histograms)/20 {
				t.Errorf("size %g: got %d of %d placers more than a group off, want at most %d",
					size, farOff, len(histograms), len(histograms)/20)
			}
			if math.Abs(configured-truth) > 0.05 && math.Abs(mean-truth) > 0.8*math.Abs(configured-truth) {
				t.Errorf("size %g: mean position = %.2f, want closer to %.2f (all tasks) than %.2f (no data) is",
					size, mean, truth, configured)
			}
		}
	}
}

func TestSizeHistogramSkipsResubmittedTasks(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(6))
	task := h.newTask(0, 7)
	task.Resubmitted = true
	h.step(PlacementRequest{Task: task})
	if load := h.placer.pools[0].sizes.total; load != 0 {
		t.Errorf("load after a resubmitted task = %g, want 0", load)
	}
}

// groupIDs returns the ids of the machines of type 0, by group.
func groupIDs(p *Placer) [][]MachineID {
	pool := p.pools[0]
	n := p.intervalCount(pool)
	var groups [][]MachineID
	for i := range n {
		var ids []MachineID
		for _, m := range pool.group(i, n) {
			ids = append(ids, m.ID)
		}
		groups = append(groups, ids)
	}
	return groups
}

func TestGroupsAreTheSameAtAllPlacers(t *testing.T) {
	machines := readyMachines(11)
	h := newHarness(t, testSettings(), machines)
	other, err := New(testSettings(), 99)
	if err != nil {
		t.Fatal(err)
	}
	reversed := slices.Clone(machines)
	slices.Reverse(reversed)
	other.Step(time.Minute, []Event{ListUpdate{Mode: ListSnapshot, Machines: reversed}})
	want, got := groupIDs(h.placer), groupIDs(other)
	if !slices.EqualFunc(want, got, slices.Equal) {
		t.Errorf("groups of a placer with the list reversed = %v, want %v", got, want)
	}
	for i := range machines {
		machines[i].State = Draining
		h.step(ListUpdate{Mode: ListDelta, Machines: machines[i : i+1]})
	}
	if after := groupIDs(h.placer); !slices.EqualFunc(want, after, slices.Equal) {
		t.Errorf("groups with all machines draining = %v, want %v", after, want)
	}
}

func TestGroupsOfFewMachinesCoverAll(t *testing.T) {
	for n := range 12 {
		h := newHarness(t, testSettings(), readyMachines(n))
		total := 0
		for _, group := range groupIDs(h.placer) {
			if len(group) == 0 {
				t.Errorf("%d machines: got an empty group, want none", n)
			}
			total += len(group)
		}
		if total != n {
			t.Errorf("%d machines: groups hold %d machines, want %d", n, total, n)
		}
	}
}
