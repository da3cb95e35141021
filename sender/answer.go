package sender

import (
	"bufio"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// interimAnswersMax is the number of 1xx answers after which the client gives up
// on the final answer.
const interimAnswersMax = 8

// errIncompleteAnswer marks an answer that was truncated, malformed or too large,
// whose end can't be detected, or that can't be matched to the request.
var errIncompleteAnswer = errors.New("incomplete answer")

// answersReadMax is the maximum number of answers that are read to find the one
// whose echo header matches the request.
const answersReadMax = 4

// readAnswer reads the whole answer to a request. reusable reports whether the
// connection may carry another request. If the request has an echo header,
// answers with another value belong to earlier requests and are skipped; the
// connection is not reused after that.
func readAnswer(reader *bufio.Reader, r Request) (answer Answer, reusable bool, err error) {
	for skipped := range answersReadMax {
		if answer, reusable, err = readNextAnswer(reader, r); err != nil {
			return answer, false, err
		}
		switch echo := answer.Header(r.echo.name); {
		case r.echo.name == "", echo == r.echo.value:
			return answer, reusable && skipped == 0, nil
		case echo == "":
			return Answer{}, false, errors.Wrapf(errIncompleteAnswer, "the answer with status %d lacks the echo header that identifies its request", answer.status)
		}
	}
	return Answer{}, false, errors.Wrapf(errIncompleteAnswer, "received %d answers that belong to other requests", answersReadMax)
}

func readNextAnswer(reader *bufio.Reader, r Request) (answer Answer, reusable bool, err error) {
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
			return errors.Mark(errors.Wrap(err, "read the answer's headers"), errIncompleteAnswer)
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return errors.Wrapf(errIncompleteAnswer, "received %d interim answers (1xx) and no final one", interimAnswersMax)
}

// hasBody reports whether HTTP allows a body in an answer with the status to a
// request with the method.
func hasBody(method string, status int) bool {
	return method != fasthttp.MethodHead && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// readBody reads a body that is delimited by a Content-Length or by chunked
// encoding. A body that is delimited by the end of the connection is rejected
// unless the request allows it, because a truncated body looks the same.
func readBody(reader *bufio.Reader, response *fasthttp.Response, r Request) error {
	length, limit := response.Header.ContentLength(), r.answerBytesMax
	if length < -1 && !r.closeDelimited {
		return errors.Wrap(errIncompleteAnswer, "the answer has neither a Content-Length nor chunked encoding, so a truncated body would go undetected")
	}
	if length > limit {
		return errors.Wrapf(errIncompleteAnswer, "the answer's Content-Length is %d bytes; the limit is %d", length, limit)
	}
	if err := response.ReadBody(reader, limit); err != nil {
		return errors.Mark(errors.Wrap(err, "read the answer's body"), errIncompleteAnswer)
	}
	if length < -1 {
		response.SetConnectionClose()
	}
	if length != -1 {
		return nil
	}
	if err := response.Header.ReadTrailer(reader); err != nil {
		return errors.Mark(errors.Wrap(err, "read the trailer of the chunked answer"), errIncompleteAnswer)
	}
	return nil
}

func copyAnswer(response *fasthttp.Response) Answer {
	answer := Answer{status: response.StatusCode(), body: append([]byte(nil), response.Body()...)}
	answer.keepAlive = string(response.Header.Peek("Keep-Alive"))
	for name, value := range response.Header.All() {
		if !isConnectionHeader(string(name)) {
			answer.headers = append(answer.headers, Header{name: string(name), value: string(value)})
		}
	}
	return answer
}

// isStale reports whether the target has closed an idle connection or has sent
// data on it without a request. It peeks at the socket and consumes nothing.
func isStale(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	idle := false
	var peek [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, peekErr := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err != nil || !idle
}
