package main

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"forkhead/internal/goldentest"
)

// testdata/batches.hex is one placer from its start to its teardown, with one of each event of the wire; the replies, one a line, are the same
// to the byte. That fixes the translation both ways and what the module decides there: a change of a decision changes the
// replies, one of a name does not.
func TestRepliesGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "batches.hex"))
	if err != nil {
		t.Fatal(err)
	}
	batches, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(batches), &out); err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	for replies := out.Bytes(); len(replies) > 0; {
		n := 4 + binary.LittleEndian.Uint32(replies)
		fmt.Fprintln(&b, hex.EncodeToString(replies[:n]))
		replies = replies[n:]
	}
	goldentest.Check(t, "replies.hex", b.Bytes())
}
