package sender_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/sender"
)

// TestInvalidStatusIsNoAnswer guards against an answer whose status line is invalid and
// that is taken for a success, or skipped like an interim answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		statusLine string
		// want is the status of the answer, 0 if it must be rejected.
		want int
	}{
		"000":                        {statusLine: "HTTP/1.1 000 Trouble"},
		"000, no reason":             {statusLine: "HTTP/1.1 000"},
		"000 in front of an answer":  {statusLine: "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK"},
		"099 in front of an answer":  {statusLine: "HTTP/1.1 099 Trouble\r\n\r\nHTTP/1.1 200 OK"},
		"101, not asked for":         {statusLine: "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK"},
		"600":                        {statusLine: "HTTP/1.1 600 Trouble"},
		"999":                        {statusLine: "HTTP/1.1 999 Trouble"},
		"a sign":                     {statusLine: "HTTP/1.1 +20 OK"},
		"two digits":                 {statusLine: "HTTP/1.1 20 OK"},
		"four digits":                {statusLine: "HTTP/1.1 2000 OK"},
		"two spaces":                 {statusLine: "HTTP/1.1  200 OK"},
		"another version":            {statusLine: "HTTP/2.0 200 OK"},
		"another protocol":           {statusLine: "ICY 200 OK"},
		"an empty line in front":     {statusLine: "\r\nHTTP/1.1 200 OK"},
		"a control byte":             {statusLine: "HTTP/1.1 200 O\x00K"},
		"a bare carriage return":     {statusLine: "HTTP/1.1 200 O\rK"},
		"a bare line feed":           {statusLine: "HTTP/1.1 200 OK\nX-A: b"},
		"200":                        {statusLine: "HTTP/1.1 200 OK", want: 200},
		"no reason":                  {statusLine: "HTTP/1.1 200", want: 200},
		"an empty reason":            {statusLine: "HTTP/1.1 200 ", want: 200},
		"a reason beyond ASCII":      {statusLine: "HTTP/1.1 404 Intr\xc3\xa9pide", want: 404},
		"599":                        {statusLine: "HTTP/1.1 599 Trouble", want: 599},
		"HTTP/1.0":                   {statusLine: "HTTP/1.0 200 OK", want: 200},
		"an interim answer in front": {statusLine: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK", want: 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for kind, request := range requestKinds() {
				answer, err := exchangeWith(t, request, c.statusLine+"\r\n"+sender.HeaderRequestID+": r1\r\nContent-Length: 3\r\n\r\nown")
				checkRejected(t, kind, answer, err, c.want, "own")
			}
		})
	}
}

// TestInvalidFieldIsNoAnswer guards against an answer with a field whose name or value isn't
// HTTP's, and that is taken with that field passed on, changed or left out, or with a body
// that the target didn't mean.
func TestInvalidFieldIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + sender.HeaderRequestID + ": r1\r\n"
	for name, c := range map[string]struct {
		field string
		valid bool
	}{
		"blank in the name":           {field: "X Bad: v"},
		"blank behind the name":       {field: "X-Bad : v"},
		"blank in front of the name":  {field: " X-Bad: v"},
		"tab in the name":             {field: "X\tBad: v"},
		"tab behind the name":         {field: "X-Bad\t: v"},
		"NUL in the name":             {field: "X-\x00Bad: v"},
		"control byte in the name":    {field: "X-\x01Bad: v"},
		"delete in the name":          {field: "X-Bad\x7f: v"},
		"carriage return in the name": {field: "X-\rBad: v"},
		"line feed in the name":       {field: "X-\nBad: v"},
		"no ASCII in the name":        {field: "X-B\xc3\xa4d: v"},
		"quote in the name":           {field: "\"X-Bad\": v"},
		"no name":                     {field: ": v"},
		"no colon":                    {field: "X-Bad"},
		"NUL in the value":            {field: "X-Bad: a\x00b"},
		"control byte in the value":   {field: "X-Bad: a\x1bb"},
		"carriage return in a value":  {field: "X-Bad: a\rb"},
		"line feed in the value":      {field: "X-Bad: a\nX-Worse: b"},
		"length with a blank":         {field: "Content-Length : 1"},
		"length with a blank inside":  {field: "Content Length: 1"},
		"chunked with a blank":        {field: "Transfer-Encoding : chunked"},
		"chunked with a blank inside": {field: "Transfer Encoding: chunked"},
		"continued line":              {field: "X-Bad: a\r\n b"},
		"odd name":                    {field: "x!#$%&'*+-.^_`|~9: v", valid: true},
		"odd value":                   {field: "X-Odd:\ta\xffb \"(,;=\t", valid: true},
		"empty value":                 {field: "X-Empty:", valid: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bodies := map[string]string{
				"with a length, first":     c.field + "\r\nContent-Length: 5\r\n\r\nwhole",
				"with a length, last":      "Content-Length: 5\r\n" + c.field + "\r\n\r\nwhole",
				"chunked":                  "Transfer-Encoding: chunked\r\n" + c.field + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
				"ends with the connection": c.field + "\r\n\r\nwhole",
				"in the trailer":           "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + c.field + "\r\n\r\n",
			}
			want := 0
			if c.valid {
				want = http.StatusOK
			}
			for body, rest := range bodies {
				for kind, request := range requestKinds() {
					answer, err := exchangeWith(t, request, head+rest)
					checkRejected(t, body+", "+kind, answer, err, want, "whole")
				}
			}
		})
	}
}

// requestKinds returns a request with the ID r1 for each way to match its answer.
func requestKinds() map[string]sender.Request {
	header := sender.NewHeader(sender.HeaderRequestID, "r1")
	plain := sender.NewRequest("POST", "/x", time.Now().Add(time.Minute)).WithHeadersAndBody([]sender.Header{header}, []byte("body")).WithCloseDelimited()
	return map[string]sender.Request{"echo": plain.WithEcho(header), "optional echo": plain.WithOptionalEcho(header), "no echo": plain}
}

// checkRejected checks that an answer has the status and the body, or with the status 0
// that it was rejected and the request counts as one that may have run.
func checkRejected(t *testing.T, kind string, answer sender.Answer, err error, status int, body string) {
	t.Helper()
	switch {
	case status != 0:
		if err != nil || answer.Status() != status || string(answer.Body()) != body {
			t.Errorf("%s: status %d with body %q, error %v; want %d with %q", kind, answer.Status(), answer.Body(), err, status, body)
		}
	case err == nil:
		t.Errorf("%s: status %d with body %q and headers %q; want an error", kind, answer.Status(), answer.Body(), answer.Headers())
	case errs.VerdictOf(err) != errs.VerdictMayHaveRun || errs.AsRefusal(err).Reason() != errs.ReasonCutAnswer:
		t.Errorf("%s: error %v; want one that says that the answer is broken and the request may have run", kind, err)
	}
}

// TestAmbiguousLength guards against an answer whose body has another length for the
// target than for this system.
func TestAmbiguousLength(t *testing.T) {
	const chunks = "5\r\nwhole\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		version, fields, body string
		valid                 bool
	}{
		"chunks and a length":         {"HTTP/1.1", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", chunks, false},
		"a length and chunks":         {"HTTP/1.1", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", chunks, false},
		"chunks with HTTP/1.0":        {"HTTP/1.0", "Transfer-Encoding: chunked\r\n", chunks, false},
		"chunks with HTTP/1.2":        {"HTTP/1.2", "Transfer-Encoding: chunked\r\n", chunks, false},
		"a length, chunks, HTTP/1.0":  {"HTTP/1.0", "Content-Length: 5\r\ntransfer-encoding: chunked\r\n", "whole", false},
		"two lengths":                 {"HTTP/1.1", "Content-Length: 5\r\nContent-Length: 4\r\n", "whole", false},
		"two lengths in one field":    {"HTTP/1.1", "Content-Length: 5, 5\r\n", "whole", false},
		"a length with a sign":        {"HTTP/1.1", "Content-Length: +5\r\n", "whole", false},
		"a negative length":           {"HTTP/1.1", "Content-Length: -5\r\n", "whole", false},
		"an empty length":             {"HTTP/1.1", "Content-Length:\r\n", "whole", false},
		"a hexadecimal length":        {"HTTP/1.1", "Content-Length: 0x5\r\n", "whole", false},
		"the longest length":          {"HTTP/1.1", "Content-Length: 9223372036854775807\r\n", "whole", false},
		"a length beyond 64 bits":     {"HTTP/1.1", "Content-Length: 18446744073709551621\r\n", "whole", false},
		"chunks twice":                {"HTTP/1.1", "Transfer-Encoding: chunked, chunked\r\n", chunks, false},
		"chunks in two fields":        {"HTTP/1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks, false},
		"another encoding":            {"HTTP/1.1", "Transfer-Encoding: gzip\r\n", chunks, false},
		"another encoding and chunks": {"HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n", chunks, false},
		"chunks":                      {"HTTP/1.1", "transfer-encoding: Chunked\r\n", chunks, true},
		"a length with HTTP/1.0":      {"HTTP/1.0", "content-length: 5\r\n", "whole", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			want := 0
			if c.valid {
				want = http.StatusOK
			}
			for kind, request := range requestKinds() {
				answer, err := exchangeWith(t, request, c.version+" 200 OK\r\n"+sender.HeaderRequestID+": r1\r\n"+c.fields+"\r\n"+c.body)
				checkRejected(t, kind, answer, err, want, "whole")
			}
		})
	}
}
