// Simadapter runs placers behind the simulator's wire: batches of events on standard input, a reply to each on standard
// output. It translates and decides nothing. It exits with 0 at the end of input and with 1 on malformed input, with one
// line on standard error.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"forkhead/internal/simadapter"
)

const bufferSize = 64 << 10 // bytes, of input and output each

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until input ends between frames.
func run(in io.Reader, out io.Writer) error {
	a := newAdapter()
	r, w := bufio.NewReaderSize(in, bufferSize), bufio.NewWriterSize(out, bufferSize)
	for {
		batch, err := simadapter.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleBatch(batch); err != nil {
			return err
		}
		if _, err := a.reply.WriteTo(w); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}
