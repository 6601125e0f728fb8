package explore

import (
	"fmt"
	"os"
	"testing"
)

func TestDev(t *testing.T) {
	if os.Getenv("DEV") == "" {
		t.Skip()
	}
	for _, c := range []Config{
		{Tasks: 2, Hosts: 2, Asks: 1, Attempts: 2, Faults: 0, Effect: 2},
		{Tasks: 2, Hosts: 1, Asks: 1, Attempts: 1, Faults: 1, Effect: 2},
		{Tasks: 2, Hosts: 2, Asks: 1, Attempts: 1, Faults: 1, Effect: 2},
		{Tasks: 2, Hosts: 2, Asks: 1, Attempts: 2, Faults: 1, Effect: 2},
	} {
		c.MostStates = 25_000_000
		r, err := Run(c)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Printf("%+v: %d states depth %d complete %v ends %d %v %.0f/s %d MB size %d\n", c, r.States, r.Depth, r.Complete, r.Ends, r.Took, float64(r.States)/r.Took.Seconds(), r.Bytes>>20, StateSize)
		for _, v := range r.Violations {
			fmt.Println(v.Property, v.Why)
			for _, l := range v.Trace {
				fmt.Println("   ", l)
			}
		}
	}
}
