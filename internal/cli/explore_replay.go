package cli

import (
	"encoding/json"
	"fmt"

	"forkhead"
	"forkhead/internal/verify/modelcheck"
)

// replay plays a trace through the real core.
func (a *app) replay(name string) error {
	text, err := file(name, "a trace that explore has written")
	if err != nil {
		return err
	}
	var t modelcheck.Trace
	if err := json.Unmarshal(text, &t); err != nil {
		return badInput(fmt.Errorf("%s: not a trace: %w", name, err))
	}
	if t.Config.Tasks < 1 || t.Config.Tasks > 3 || t.Config.Hosts < 1 || t.Config.Hosts > 2 || t.Config.Effect > forkhead.Unsafe {
		return badInput(fmt.Errorf("%s: not a trace of 1 to 3 tasks and 1 or 2 hosts", name))
	}
	r, err := modelcheck.Replay(&t)
	if err != nil {
		return err
	}
	if a.output == "json" {
		if err := a.json(r); err != nil {
			return err
		}
	} else {
		for i, s := range r.Steps {
			fmt.Fprintf(a.out, "%3d  %s\n", i+1, s.What)
			for _, did := range s.Did {
				fmt.Fprintf(a.out, "       %s\n", did)
			}
		}
		fmt.Fprintf(a.out, "%d vetoes, %d offers written, %d starts, held twice: %v\n", r.Vetoes, r.Offers, r.Starts, r.Twice)
		if r.Parted != "" {
			fmt.Fprintf(a.out, "the core parts from the trace at %s\n", r.Parted)
		}
	}
	if r.Twice && t.Config.Effect == forkhead.Unsafe {
		return errNo
	}
	return nil
}
