// Package statetable renders the transition function of a state machine as a Markdown table, with a column for each
// state and a row for each input. A test compares the tables in the design page on the state machines with the rendered
// ones.
package statetable

import (
	"fmt"
	"strings"
)

// Render returns a Markdown table. The function cell returns the text of the cell for an input in a state, both given
// by index; "" means that the input has no effect.
func Render(states, inputs []string, cell func(input, state int) string) string {
	var b strings.Builder
	b.WriteString("| input |")
	for _, name := range states {
		b.WriteString(" " + name + " |")
	}
	b.WriteString("\n| --- |" + strings.Repeat(" --- |", len(states)) + "\n")
	for input, name := range inputs {
		b.WriteString("| " + name + " |")
		for state := range states {
			b.WriteString(strings.TrimRight(" "+cell(input, state), " ") + " |")
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Cell returns the text of a cell: the next state, unless it is the current one, and the outputs that are not empty,
// joined by the separator.
func Cell[State interface {
	comparable
	fmt.Stringer
}](separator string, from, to State, outputs ...string) string {
	var parts []string
	if to != from {
		parts = append(parts, to.String())
	}
	for _, output := range outputs {
		if output != "" {
			parts = append(parts, output)
		}
	}
	return strings.Join(parts, separator)
}
