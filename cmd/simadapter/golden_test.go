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

// testdata/batches.hex covers one placer from its start to its teardown, with one of each event of the wire. The replies
// must stay byte for byte the same; replies.hex has one a line. The test therefore fails if the translation in either
// direction changes, or a decision of the module in this input. Renaming Go identifiers does not affect it.
func TestRunRepliesGolden(t *testing.T) {
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
		t.Fatalf("run(testdata/batches.hex): %v", err)
	}
	var b bytes.Buffer
	for replies := out.Bytes(); len(replies) > 0; {
		n := 4 + binary.LittleEndian.Uint32(replies)
		fmt.Fprintln(&b, hex.EncodeToString(replies[:n]))
		replies = replies[n:]
	}
	goldentest.Check(t, "replies.hex", b.Bytes())
}
