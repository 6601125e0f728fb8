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

// The replies to testdata/batches.hex must stay byte for byte the same. This input covers one placer from its start to
// its teardown and has each event of the wire once. The file testdata/replies.hex has one reply per line. The test
// fails if the translation of events or actions changes, or if the module decides differently on this input. Renaming
// Go identifiers does not affect it.
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
		t.Fatalf("run(testdata/batches.hex) = error %v, want none", err)
	}
	var b bytes.Buffer
	for replies := out.Bytes(); len(replies) > 0; {
		n := 4 + binary.LittleEndian.Uint32(replies)
		fmt.Fprintln(&b, hex.EncodeToString(replies[:n]))
		replies = replies[n:]
	}
	goldentest.Check(t, "replies.hex", b.Bytes())
}
