// Simadapter runs placers for the simulator. It reads batches of events from standard input and writes one reply for each
// batch to standard output, both in the format of package simadapter. It only translates; the placers make all decisions.
// It exits with 0 at the end of input, and with 1 and one line on standard error on malformed input.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"forkhead/internal/simadapter"
)

const bufferSize = 64 << 10 // size of each of the input and output buffers, in bytes

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to each batch of in until in ends between two frames.
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
