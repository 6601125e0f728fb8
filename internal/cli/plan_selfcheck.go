package cli

import (
	"fmt"
	"time"

	"forkhead/internal/planning/solver"
	"forkhead/internal/verify/bruteforce"
)

func (a *app) selfcheck(n int) error {
	start := time.Now()
	feasible, err := bruteforce.Compare(1, n, solver.Options{})
	if a.output == "json" {
		out := map[string]any{"instances": n, "feasible": feasible, "agree": err == nil}
		if err != nil {
			out["difference"] = err.Error()
		}
		if jerr := a.json(out); jerr != nil {
			return jerr
		}
	} else if err == nil {
		fmt.Fprintf(a.out, "%d instances, %d with an answer: solver and brute force agree on all; %.1f s\n", n, feasible, time.Since(start).Seconds())
	} else {
		fmt.Fprintln(a.out, err)
	}
	if err != nil {
		return errNo
	}
	return nil
}
