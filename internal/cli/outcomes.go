package cli

import (
	"forkhead/internal/scheduler/core"
)

// outcomeWriter writes and counts the outcomes of tasks. It writes JSON as outcomes arrive, and text as a table at the end.
type outcomeWriter struct {
	app    *app
	table  *table // nil if the output is JSON
	counts map[core.OutcomeKind]int
	err    error // first error that occurred while JSON was written
}

func (a *app) newOutcomeWriter() *outcomeWriter {
	w := &outcomeWriter{app: a, counts: map[core.OutcomeKind]int{}}
	if !a.wantsJSON() {
		w.table = newTable(a.out, 0, "SERVICE\tREPLICA\tOUTCOME\tHOST\tZONE\tRACK\tATTEMPTS\tTOOK\tREASON")
	}
	return w
}

// add counts an outcome, and writes it or adds it to the table.
func (w *outcomeWriter) add(o core.Outcome) {
	w.counts[o.Outcome]++
	if w.table == nil {
		if err := w.app.writeJSON(o); err != nil && w.err == nil {
			w.err = err
		}
		return
	}
	w.table.printf("%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d ms\t%s\n", o.Service, o.Replica, o.Outcome,
		orDash(o.Host), orDash(o.Zone), orDash(o.Rack), o.Attempts, o.TookMS, o.Reason)
}

// orDash returns s, or a dash if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// finish writes the table and the counts. It returns errNegativeResult if any task was not placed.
func (w *outcomeWriter) finish() error {
	rejected, failed := w.counts[core.OutcomeRejected], w.counts[core.OutcomeFailed]
	if w.table != nil {
		if err := w.table.flush(); err != nil {
			return err
		}
		w.app.printf("%d placed, %d refused, %d failed\n", w.counts[core.OutcomePlaced], rejected, failed)
	}
	if w.err != nil {
		return w.err
	}
	if rejected+failed > 0 {
		return errNegativeResult
	}
	return nil
}
