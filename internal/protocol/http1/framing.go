package http1

import (
	"strconv"
	"strings"
)

// framing is the information in the header fields that determines how the body is read and when the connection ends.
type framing struct {
	hostFields       int
	hasContentLength bool
	contentLength    string
	transferCoding   string // "" without a Transfer-Encoding field
	closes           bool   // the client asks to close the connection after the response
	expectsContinue  bool
}

// readFraming returns the framing that the header fields specify. It checks each field by itself; check compares the
// fields with each other.
func readFraming(fields []Field) (framing, *Error) {
	var f framing
	for _, field := range fields {
		if err := f.add(field); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *framing) add(field Field) *Error {
	switch field.Name {
	case "host":
		f.hostFields++
		if strings.ContainsAny(field.Value, " \t/@?#,") {
			return reject(400, "the Host field is not a host")
		}
	case "content-length":
		// Two lengths, even equal ones, can be used to smuggle a request past a proxy.
		if f.hasContentLength {
			return reject(400, "two Content-Length fields")
		}
		f.hasContentLength, f.contentLength = true, field.Value
	case "transfer-encoding":
		if f.transferCoding != "" {
			return reject(400, "two Transfer-Encoding fields")
		}
		if field.Value == "" {
			return reject(400, "an empty Transfer-Encoding")
		}
		f.transferCoding = field.Value
	case "connection":
		f.closes = f.closes || hasCloseOption(field.Value)
	case "expect":
		if !strings.EqualFold(field.Value, "100-continue") {
			return reject(417, "the expectation %q cannot be met", field.Value)
		}
		f.expectsContinue = true
	}
	return nil
}

func hasCloseOption(connection string) bool {
	for option := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(option), "close") {
			return true
		}
	}
	return false
}

// check checks that the fields are consistent with each other and with the minor version.
func (f *framing) check(minor int) *Error {
	if f.hostFields > 1 || f.hostFields == 0 && minor == 1 {
		return reject(400, "%d Host fields, where one belongs", f.hostFields)
	}
	if f.transferCoding == "" {
		return nil
	}
	switch {
	case f.hasContentLength:
		return reject(400, "both Content-Length and Transfer-Encoding")
	case minor == 0:
		return reject(400, "Transfer-Encoding in HTTP/1.0")
	case !strings.EqualFold(f.transferCoding, "chunked"):
		return reject(501, "transfer coding %q is not known here", f.transferCoding)
	}
	return nil
}

// parseDigits parses a number that consists of digits only, without a sign or spaces. It returns false for any other
// string and for a number of more than maxDigits digits.
func parseDigits(s string, base, maxDigits int) (int, bool) {
	if s == "" || len(s) > maxDigits {
		return 0, false
	}
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (base != 16 || c|0x20 < 'a' || c|0x20 > 'f') {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(s, base, 64)
	return int(n), err == nil
}
