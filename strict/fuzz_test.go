package strict_test

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/endivechute/endivechute/strict"
)

// FuzzCheckedHead checks that two libraries, if both take a head that passes the check,
// read the same from it: its end, the status, the length of the body and a field.
func FuzzCheckedHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\n",
		"HTTP/1.0 404 Unknown\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200\r\nSet-Cookie: a=b\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 204 Nothing\r\nServer: a\r\nContent-Type: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\nTrailer: X-T\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const bufferBytes, body = 16 << 10, "body"
		n := strict.EndOfHead(data, 0)
		if n < 0 || n+len(body) > bufferBytes || strict.CheckHead(data[:n]) != nil {
			return
		}
		reader := bufio.NewReaderSize(bytes.NewReader(append(bytes.Clone(data[:n]), body...)), bufferBytes)
		var fast fasthttp.ResponseHeader
		fast.SetNoDefaultContentType(true)
		if fast.Read(reader) != nil {
			return
		}
		if rest, _ := reader.Peek(len(body)); string(rest) != body {
			t.Fatalf("fasthttp reads on at %q after the head %q", rest, data[:n])
		}
		standard, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data[:n])), nil)
		if err != nil {
			return
		}
		defer func() { _ = standard.Body.Close() }()
		if got, want := fast.StatusCode(), standard.StatusCode; got != want {
			t.Fatalf("fasthttp reads status %d and net/http %d from %q", got, want, data[:n])
		}
		if got, want := fast.ContentLength(), lengthOf(standard); hasBody(standard) && got != want {
			t.Fatalf("fasthttp reads length %d and net/http %d from %q", got, want, data[:n])
		}
		if got, want := string(fast.Peek("X-A")), standard.Header.Get("X-A"); got != want {
			t.Fatalf("fasthttp reads the field %q and net/http %q from %q", got, want, data[:n])
		}
	})
}

func hasBody(response *http.Response) bool {
	return response.StatusCode >= http.StatusOK && response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified
}

// lengthOf returns the length of the body as fasthttp does: -1 for chunks, and -2 if the
// body ends with the connection.
func lengthOf(response *http.Response) int {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return -2
	}
	return int(response.ContentLength)
}
