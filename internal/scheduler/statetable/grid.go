// Package statetable writes what a state machine does as a table of a page, a column for each state and a
// row for each input, so that pages can say what the code does.
package statetable

import "strings"

// Render writes a table. cell says what an input does in a state; "" is nothing.
func Render(states, inputs []string, cell func(input, state int) string) string {
	var b strings.Builder
	b.WriteString("| input |")
	for _, s := range states {
		b.WriteString(" " + s + " |")
	}
	b.WriteString("\n| --- |" + strings.Repeat(" --- |", len(states)) + "\n")
	for i, in := range inputs {
		b.WriteString("| " + in + " |")
		for s := range states {
			b.WriteString(strings.TrimRight(" "+cell(i, s), " ") + " |")
		}
		b.WriteString("\n")
	}
	return b.String()
}
