package sender

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/endivechute/endivechute/hold"
)

const (
	// uncountedBytes is how much of an answer's body is buffered without taking
	// it from the share of the request. Most answers are shorter.
	uncountedBytes = 8 << 10
	// bufferedBytesMax is how much of a body is buffered before the rest is
	// streamed. A request whose answer breaks off later can't be retried.
	bufferedBytesMax = 1 << 20
	// copyBytes is the size of the buffer through which a body is streamed.
	copyBytes = 32 << 10
)

// OverflowFunc takes the head of an answer whose body is too long to be buffered
// and returns the writer of the body. An error rejects the answer.
type OverflowFunc func(head Answer) (io.Writer, error)

// answerBody reads the body of an answer. Its Read returns io.EOF only at the end
// that the answer's head announces.
type answerBody struct {
	io.Reader
	// length is the announced length, -1 if there is none.
	length int
	// endsWithConnection is true if the body ends when the target closes the
	// connection.
	endsWithConnection bool
	// trailer reads what follows a chunked body, nil for other bodies.
	trailer func() error
}

// newAnswerBody returns the body of an answer, which is delimited by a
// Content-Length or by chunked encoding. One that is delimited by the end of the
// connection is rejected unless the request allows it, because a truncated body
// looks the same.
func newAnswerBody(reader *bufio.Reader, response *fasthttp.Response, r Request) (*answerBody, error) {
	if !hasBody(r.method, response.StatusCode()) {
		return &answerBody{Reader: &exactReader{}}, nil
	}
	length := response.Header.ContentLength()
	switch {
	case length >= 0:
		return &answerBody{Reader: &exactReader{reader: reader, left: length}, length: length}, nil
	case length == -1:
		return &answerBody{
			Reader: httputil.NewChunkedReader(reader), length: -1,
			trailer: func() error { return readTrailer(reader, response) },
		}, nil
	case !r.closeDelimited:
		return nil, errors.Wrap(errIncompleteAnswer, "the answer has neither a Content-Length nor chunked encoding, so a truncated body would go undetected")
	}
	return &answerBody{Reader: reader, length: -1, endsWithConnection: true}, nil
}

// exactReader reads a known number of bytes. It fails if the connection ends
// before.
type exactReader struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader.
func (e *exactReader) Read(data []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.reader.Read(data[:min(len(data), e.left)])
	e.left -= n
	if errors.Is(err, io.EOF) && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err //nolint:wrapcheck // wrapBodyError wraps it
}

// skip reads and drops the whole body, up to limit bytes.
func (b *answerBody) skip(limit int) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(b, int64(limit)+1))
	if err == nil && skipped > int64(limit) {
		return errors.Wrapf(errIncompleteAnswer, "the body, which is discarded, is longer than %d bytes", limit)
	}
	return b.finish(err)
}

// finish reads the trailer unless reading the body failed with err.
func (b *answerBody) finish(err error) error {
	if err == nil && b.trailer != nil {
		err = b.trailer()
	}
	return wrapBodyError(err)
}

// wrapBodyError marks an error of reading a body as an incomplete answer. It returns
// nil for nil.
func wrapBodyError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Wrap(err, "read the answer's body"), errIncompleteAnswer)
}

// readInto reads the body into the answer. If it is too long to be buffered and
// the request has an overflow, it is streamed there instead.
func (b *answerBody) readInto(answer *Answer, r Request) error {
	limit := r.answerBytesMax
	if r.overflow != nil {
		limit = min(limit, bufferedBytesMax)
	}
	if b.length > r.answerBytesMax && r.overflow == nil {
		return errors.Wrapf(errIncompleteAnswer, "the answer's Content-Length is %d bytes; the limit is %d", b.length, r.answerBytesMax)
	}
	buffered, whole, err := hold.ReadAll(b, r.share, int64(b.length), limit, uncountedBytes)
	switch {
	case err != nil:
		return wrapBodyError(err)
	case whole:
		answer.body = buffered
		return b.finish(nil)
	case r.overflow == nil:
		return errors.Wrapf(errIncompleteAnswer, "the answer's body is longer than %d bytes", len(buffered))
	}
	return b.stream(answer, buffered, r)
}

// stream hands the head and the body to the request's overflow. A body of unknown
// length may have up to answerBytesMax bytes.
func (b *answerBody) stream(answer *Answer, buffered []byte, r Request) error {
	if refusesBeforeRun(r, *answer) {
		return errors.Wrapf(errIncompleteAnswer, "the body of a refusal is longer than %d bytes", len(buffered))
	}
	writer, err := r.overflow(*answer)
	if err != nil {
		return errors.Mark(err, errIncompleteAnswer)
	}
	answer.streamed = true
	if _, err := writer.Write(buffered); err != nil {
		return errors.Mark(errors.Wrap(err, "write the answer to its caller"), errCallerGone)
	}
	rest := io.Reader(b)
	if b.length < 0 {
		rest = io.LimitReader(b, int64(max(r.answerBytesMax-len(buffered), 0))+1)
	}
	copied, err := copyBody(writer, rest)
	if err == nil && b.length < 0 && len(buffered)+copied > r.answerBytesMax {
		return errors.Wrapf(errIncompleteAnswer, "the answer's body of unknown length is longer than %d bytes", r.answerBytesMax)
	}
	if err != nil {
		return err
	}
	return b.finish(nil)
}

// errCallerGone marks a failure to write an answer to its caller. The target is
// not at fault.
var errCallerGone = errors.New("the caller doesn't take the answer")

// copyBody copies the rest of a body and tells errors of the reader and of the
// writer apart.
func copyBody(writer io.Writer, reader io.Reader) (copied int, err error) {
	buffer := make([]byte, copyBytes)
	for {
		n, readErr := reader.Read(buffer)
		if n > 0 {
			if _, err := writer.Write(buffer[:n]); err != nil {
				return copied, errors.Mark(errors.Wrap(err, "write the answer to its caller"), errCallerGone)
			}
			copied += n
		}
		if errors.Is(readErr, io.EOF) {
			return copied, nil
		}
		if readErr != nil {
			return copied, wrapBodyError(readErr)
		}
	}
}
