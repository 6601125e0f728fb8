package platform

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// logTexts returns the values of the constants of log.go whose names begin with a prefix, by name.
func logTexts(t *testing.T, prefix string) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "log.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	texts := map[string]string{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, prefix) {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		texts[spec.Names[0].Name] = text
		return true
	})
	return texts
}

// Every log message, reason and attribute key must be documented in docs/ops/node.md, where operators look them up.
func TestLogTextsAreInTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/ops/node.md")
	if err != nil {
		t.Fatal(err)
	}
	for prefix, quote := range map[string]string{"message": "`", "reason": `"`, "key": "`"} {
		texts := logTexts(t, prefix)
		if len(texts) == 0 {
			t.Errorf("log.go: got no constant whose name begins with %q, want at least one", prefix)
		}
		for name, text := range texts {
			if !strings.Contains(string(page), quote+text+quote) {
				t.Errorf("docs/ops/node.md lacks the value of %s, want %s%s%s in it", name, quote, text, quote)
			}
		}
	}
}

// The log lines of rejections are bounded, and the requests without one are counted.
func TestCoreBoundsLogLinesOfRejections(t *testing.T) {
	w := newTestCore(t, nil)
	w.now = w.now.Truncate(time.Second)
	count := func(message string) (lines int) {
		for _, line := range ofType[Log](w.outputs) {
			if line.Message == message {
				lines++
			}
		}
		return lines
	}
	lines := 0
	for i := range 3 * maxRejectionLines {
		w.core.logRejected(requestRef(requestNumber(i)), reasonBusy)
	}
	w.outputs = w.core.outputs
	if lines = count(messageRequestRejected); lines != maxRejectionLines {
		t.Errorf("%d rejections in a second: got %d lines, want %d", 3*maxRejectionLines, lines, maxRejectionLines)
	}
	w.core.now += time.Second
	w.core.logRejected(ref1, reasonBusy)
	w.outputs = w.core.outputs
	if got := count(messageRejectionsLeftOut); got != 1 {
		t.Errorf("the next second: got %d lines about those left out, want 1", got)
	}
}

func TestLogStringHasMessageAndAttributes(t *testing.T) {
	line := Log{Message: "offer vetoed", Attributes: []slog.Attr{taskAttr(7), hostAttr("s-1"), errorAttr(errors.New("fit: no"))}}
	if got, want := line.String(), "offer vetoed task=7 host=s-1 error=fit: no"; got != want {
		t.Errorf("String() = %q, want %q", got, want)
	}
}
