package cli

import (
	"fmt"
	"text/tabwriter"

	"forkhead/internal/scheduler/core"
)

// outcomes writes outcomes as they come, and counts.
type outcomes struct {
	app    *app
	table  *tabwriter.Writer
	counts map[core.OutcomeKind]int
	err    error
}

func (a *app) outcomes() *outcomes {
	o := &outcomes{app: a, counts: map[core.OutcomeKind]int{}}
	if a.output == "text" {
		o.table = tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(o.table, "SERVICE\tREPLICA\tOUTCOME\tHOST\tZONE\tRACK\tATTEMPTS\tTOOK\tREASON")
	}
	return o
}

func (o *outcomes) add(out core.Outcome) {
	o.counts[out.Outcome]++
	if o.table == nil {
		if err := o.app.json(out); err != nil && o.err == nil {
			o.err = err
		}
		return
	}
	fmt.Fprintf(o.table, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d ms\t%s\n", out.Service, out.Replica, out.Outcome,
		dash(out.Host), dash(out.Zone), dash(out.Rack), out.Attempts, out.TookMS, out.Reason)
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// end closes the table; it returns errNo if any task was not placed.
func (o *outcomes) end() error {
	if o.table != nil {
		if err := o.table.Flush(); err != nil {
			return err
		}
		fmt.Fprintf(o.app.out, "%d placed, %d refused, %d failed\n", o.counts[core.OutcomePlaced], o.counts[core.OutcomeRejected], o.counts[core.OutcomeFailed])
	}
	if o.err != nil {
		return o.err
	}
	if o.counts[core.OutcomeRejected]+o.counts[core.OutcomeFailed] > 0 {
		return errNo
	}
	return nil
}
