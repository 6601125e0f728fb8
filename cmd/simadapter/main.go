// Simadapter runs placers for the simulator. It reads batches of events from standard input and writes one reply for
// each batch to standard output, both in the format of package simadapter. It only translates events and actions; the
// placers make all decisions. At the end of input it exits with code 0. On malformed input it writes one line to
// standard error and exits with code 1.
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

// run reads batches from the reader in and writes a reply to each, until the input ends. An input that ends within a
// frame is an error.
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
