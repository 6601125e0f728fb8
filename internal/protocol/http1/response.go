package http1

import "strconv"

var statusText = map[int]string{
	100: "Continue", 200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 414: "URI Too Long", 415: "Unsupported Media Type",
	417: "Expectation Failed", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// StatusText returns the reason phrase of a status code, or "" if this package does not know the code.
func StatusText(status int) string { return statusText[status] }

// AppendHead appends the head of a response: its status line and header fields. A negative length means that the body
// is sent in chunks; closeAfter means that the connection is closed after the response.
func AppendHead(dst []byte, status int, fields []Field, length int, closeAfter bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, statusText[status]...)
	dst = append(dst, "\r\n"...)
	for _, f := range fields {
		dst = append(dst, f.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, f.Value...)
		dst = append(dst, "\r\n"...)
	}
	if length >= 0 {
		dst = append(dst, "content-length: "...)
		dst = strconv.AppendInt(dst, int64(length), 10)
		dst = append(dst, "\r\n"...)
	} else {
		dst = append(dst, "transfer-encoding: chunked\r\n"...)
	}
	if closeAfter {
		dst = append(dst, "connection: close\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// AppendChunk appends a chunk of a body. Empty data is not appended, since an empty chunk would end the body.
func AppendChunk(dst, data []byte) []byte {
	if len(data) == 0 {
		return dst
	}
	dst = strconv.AppendInt(dst, int64(len(data)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, data...)
	return append(dst, "\r\n"...)
}

// LastChunk is the chunk that ends a chunked body.
const LastChunk = "0\r\n\r\n"
