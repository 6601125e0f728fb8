package platform

import (
	"time"

	"forkhead/internal/protocol/platform"
)

// lineReader cuts bytes into lines and knows since when a line has begun and not ended.
type lineReader struct {
	splitter     platform.LineSplitter
	partialSince time.Duration // 0: no line has begun
}

// feed calls handle for each line that the bytes complete. It returns the first error of handle, or that a line is too
// long; nothing more can be read then.
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

// isPartial reports whether a line has begun and not ended.
func (l *lineReader) isPartial() bool { return l.partialSince > 0 }

// isStuck reports whether a line has not ended in time.
func (l *lineReader) isStuck(now, timeout time.Duration) bool {
	return l.isPartial() && now > l.partialSince+timeout
}
