package platform

import (
	"time"

	"forkhead/internal/protocol/platform"
)

// lineReader splits a byte stream into lines and tracks the time at which the current partial line began.
type lineReader struct {
	splitter     platform.LineSplitter
	partialSince time.Duration // arrival of the partial line's first byte; 0: no partial line
}

// feed calls handle for each line that data completes. It returns the first error of handle, or an error if a line is
// too long. After an error the reader cannot be used any more.
func (l *lineReader) feed(now time.Duration, data []byte, handle func(line []byte) error) error {
	err := l.splitter.Feed(data, func(line []byte) error {
		l.partialSince = 0
		return handle(line)
	})
	switch {
	case !l.splitter.HasPartialLine():
		l.partialSince = 0
	case l.partialSince == 0:
		l.partialSince = now
	}
	return err
}

// isPartial reports whether a line has begun but not ended.
func (l *lineReader) isPartial() bool { return l.partialSince > 0 }

// isStuck reports whether a line that began more than timeout ago has not ended.
func (l *lineReader) isStuck(now, timeout time.Duration) bool {
	return l.isPartial() && now > l.partialSince+timeout
}
