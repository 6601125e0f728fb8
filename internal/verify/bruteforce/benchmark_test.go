package bruteforce

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"forkhead/internal/planning/solver"
)

// BenchmarkSizes tells time and gap of instances of a fleet's size and of triplets, stopped after
// five seconds. go test ./internal/verify/bruteforce -run xxx -bench Sizes -benchtime 1x
func BenchmarkSizes(b *testing.B) {
	for _, size := range [][2]int{{10, 30}, {40, 120}, {130, 400}} {
		for seed := range 3 {
			b.Run(fmt.Sprintf("%dx%d/%d", size[0], size[1], seed), func(b *testing.B) {
				one(b, FleetInstance(rand.New(rand.NewPCG(uint64(seed), 5)), size[0], size[1]))
			})
		}
	}
	for _, hosts := range []int{4, 6, 8} {
		b.Run(fmt.Sprintf("triplets/%d", hosts), func(b *testing.B) {
			one(b, TripletInstance(rand.New(rand.NewPCG(1, 6)), hosts))
		})
	}
}

func one(b *testing.B, in *solver.Instance) {
	var a *solver.Result
	for b.Loop() {
		end := time.Now().Add(5 * time.Second)
		var err error
		a, err = solver.Solve(in, solver.Options{Stop: func() bool { return time.Now().After(end) }})
		if err != nil {
			b.Fatal(err)
		}
		if a.Feasible {
			if err := solver.Check(in, a.Counts, a.Cost); err != nil {
				b.Fatal(err)
			}
		}
	}
	gap := 100.0
	if a.Feasible && a.Cost > 0 {
		gap = float64(a.Cost-a.LowerBound) / float64(a.Cost) * 100
	}
	b.ReportMetric(gap, "gap-%")
	b.ReportMetric(float64(a.Nodes), "nodes")
	b.ReportMetric(float64(a.Cost), "cost")
}
