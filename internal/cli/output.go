package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Formats of standard output.
const (
	formatText = "text"
	formatJSON = "json"
)

func (a *app) wantsJSON() bool { return a.output == formatJSON }

// writeJSON writes v to standard output as one line of JSON.
func (a *app) writeJSON(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = a.out.Write(append(line, '\n'))
	return err
}

// printf writes text to standard output. It ignores errors of writing, as most callers of fmt.Printf do.
func (a *app) printf(format string, args ...any) { _, _ = fmt.Fprintf(a.out, format, args...) }

// println writes a line of text to standard output.
func (a *app) println(args ...any) { _, _ = fmt.Fprintln(a.out, args...) }

// warnf writes text to standard error.
func (a *app) warnf(format string, args ...any) { _, _ = fmt.Fprintf(a.errs, format, args...) }

// warnln writes a line of text to standard error.
func (a *app) warnln(args ...any) { _, _ = fmt.Fprintln(a.errs, args...) }

// table aligns columns of text. All output is written by flush, which also returns earlier errors.
type table struct{ w *tabwriter.Writer }

const columnPadding = 2 // spaces between two columns

// newTable returns a table with a header whose cells are separated by tabs. The flags are passed to tabwriter.NewWriter.
func newTable(out io.Writer, flags uint, header string) *table {
	t := &table{tabwriter.NewWriter(out, 0, 4, columnPadding, ' ', flags)}
	t.printf("%s\n", header)
	return t
}

// printf adds cells and rows. Each cell ends with a tab and each row with a line feed.
func (t *table) printf(format string, args ...any) { _, _ = fmt.Fprintf(t.w, format, args...) }

func (t *table) flush() error { return t.w.Flush() }
