package sender

import (
	"bufio"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// interimAnswersMax is how many 1xx answers may come before the final one.
const interimAnswersMax = 8

// errCut marks an answer that began and did not come whole, or whose end
// cannot be told.
var errCut = errors.New("the answer is not whole")

// strayAnswersMax is how many answers to earlier requests may come before the
// right one.
const strayAnswersMax = 4

// read takes the whole answer to a request from the connection. reusable tells
// whether the connection may carry another request. If the request has an echo,
// answers that belong to earlier requests are passed over; a connection that
// brought one is not used again.
func read(reader *bufio.Reader, r Request) (answer Answer, reusable bool, err error) {
	for stray := range strayAnswersMax {
		if answer, reusable, err = readOne(reader, r); err != nil {
			return answer, false, err
		}
		switch echo := answer.Header(r.echo.name); {
		case r.echo.name == "", echo == r.echo.value:
			return answer, reusable && stray == 0, nil
		case echo == "":
			return Answer{}, false, errors.Wrapf(errCut, "an answer with status %d does not say which request it belongs to", answer.status)
		}
	}
	return Answer{}, false, errors.Wrapf(errCut, "%d answers came that belong to other requests", strayAnswersMax)
}

func readOne(reader *bufio.Reader, r Request) (answer Answer, reusable bool, err error) {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err = readHeader(reader, response); err != nil {
		return Answer{}, false, err
	}
	if hasBody(r.method, response.StatusCode()) {
		if err = readBody(reader, response, r); err != nil {
			return Answer{}, false, err
		}
	}
	reusable = !response.ConnectionClose() && reader.Buffered() == 0
	return copyAnswer(response), reusable, nil
}

func readHeader(reader *bufio.Reader, response *fasthttp.Response) error {
	for range interimAnswersMax {
		if _, err := reader.Peek(1); err != nil {
			return errors.Wrap(err, "wait for the answer")
		}
		if err := response.Header.Read(reader); err != nil {
			return errors.Mark(errors.Wrap(err, "read the answer's header"), errCut)
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return errors.Wrapf(errCut, "more than %d interim answers came", interimAnswersMax)
}

// hasBody tells whether the rules of HTTP give an answer a body.
func hasBody(method string, status int) bool {
	return method != fasthttp.MethodHead && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// readBody reads a body whose end is marked by a length or by a last chunk. A
// body that ends with the connection is refused unless the request allows it,
// because for most targets a connection that broke looks the same.
func readBody(reader *bufio.Reader, response *fasthttp.Response, r Request) error {
	length, answerBytes := response.Header.ContentLength(), r.answerBytes
	if length < -1 && !r.unframed {
		return errors.Wrap(errCut, "the answer has neither a Content-Length nor chunks, so that its end cannot be told")
	}
	if length > answerBytes {
		return errors.Wrapf(errCut, "the answer has %d bytes, at most %d are allowed", length, answerBytes)
	}
	if err := response.ReadBody(reader, answerBytes); err != nil {
		return errors.Mark(errors.Wrap(err, "read the answer's body"), errCut)
	}
	if length < -1 {
		response.SetConnectionClose()
	}
	if length != -1 {
		return nil
	}
	if err := response.Header.ReadTrailer(reader); err != nil {
		return errors.Mark(errors.Wrap(err, "read the end of the answer's chunks"), errCut)
	}
	return nil
}

func copyAnswer(response *fasthttp.Response) Answer {
	answer := Answer{status: response.StatusCode(), body: append([]byte(nil), response.Body()...)}
	answer.keepAlive = string(response.Header.Peek("Keep-Alive"))
	for name, value := range response.Header.All() {
		if !connectionHeader(string(name)) {
			answer.headers = append(answer.headers, Header{name: string(name), value: string(value)})
		}
	}
	return answer
}

// stale tells whether the other side has closed a connection on which nothing
// is under way, or has sent bytes that nobody asked for. Nothing is read.
func stale(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	var peek [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, peekErr := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err != nil || !quiet
}
