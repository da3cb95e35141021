package sender

import (
	"bufio"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/endivechute/endivechute/strict"
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

// readAnswer reads the answer to a request, and streams it if the request allows
// that and it is too long to be buffered. reusable reports whether the connection
// may carry another request. If the request has an echo header, answers with
// another value belong to earlier requests and are skipped; the connection is not
// reused after that.
func readAnswer(reader *bufio.Reader, r Request) (answer Answer, reusable bool, err error) {
	for skipped := range answersReadMax {
		response := fasthttp.AcquireResponse()
		answer, reusable, err = readNextAnswer(reader, response, r)
		fasthttp.ReleaseResponse(response)
		if !errors.Is(err, errOtherRequest) {
			return answer, reusable && skipped == 0, err
		}
	}
	return Answer{}, false, errors.Wrapf(errIncompleteAnswer, "received %d answers that belong to other requests", answersReadMax)
}

// errOtherRequest marks an answer to another request, which was skipped.
var errOtherRequest = errors.New("the answer belongs to another request")

func readNextAnswer(reader *bufio.Reader, response *fasthttp.Response, r Request) (answer Answer, reusable bool, err error) {
	if err = readHeader(reader, response); err != nil {
		return Answer{}, false, err
	}
	body, err := newAnswerBody(reader, response, r)
	if err != nil {
		return Answer{}, false, err
	}
	answer = copyHead(response)
	switch echo := answer.Header(r.echo.name); {
	case r.echo.name == "", echo == r.echo.value, echo == "" && r.echoOptional:
	case echo == "":
		return Answer{}, false, errors.Wrapf(errIncompleteAnswer, "the answer with status %d lacks the echo header that identifies its request", answer.status)
	default:
		if err = body.skip(r.answerBytesMax); err != nil {
			return Answer{}, false, err
		}
		return Answer{}, false, errOtherRequest
	}
	answer.endsWithConnection = body.endsWithConnection
	if r.bodyDiscarded {
		err = body.skip(r.answerBytesMax)
	} else {
		err = body.readInto(&answer, r)
	}
	if err != nil {
		return answer, false, err
	}
	reusable = !body.endsWithConnection && !response.ConnectionClose() && reader.Buffered() == 0
	// A target may write a refusal once more. Without an echo that is certain to differ,
	// the next request on the connection would be taken for refused.
	reusable = reusable && (r.isIdentified() || !refusesBeforeRun(r, answer))
	return answer, reusable, nil
}

func readHeader(reader *bufio.Reader, response *fasthttp.Response) error {
	for range interimAnswersMax {
		if _, err := reader.Peek(1); err != nil {
			return errors.Wrap(err, "wait for the answer")
		}
		if err := checkHead(reader); err != nil {
			return errors.Mark(errors.Wrap(err, "read the answer's headers"), errIncompleteAnswer)
		}
		if err := response.Header.Read(reader); err != nil {
			return errors.Mark(errors.Wrap(err, "read the answer's headers"), errIncompleteAnswer)
		}
		switch status := response.StatusCode(); {
		case status >= fasthttp.StatusOK:
			return nil
		case status == fasthttp.StatusSwitchingProtocols:
			return errors.Wrap(errIncompleteAnswer, "the target switched to another protocol, which was not requested")
		}
	}
	return errors.Wrapf(errIncompleteAnswer, "received %d interim answers (1xx) and no final one", interimAnswersMax)
}

// checkHead waits for the head of an answer and checks it. It consumes nothing.
func checkHead(reader *bufio.Reader) error {
	head, err := peekSection(reader, strict.EndOfHead)
	if err != nil {
		return err
	}
	return strict.CheckHead(head) //nolint:wrapcheck // the caller wraps it
}

// readTrailer reads and checks the trailer section of a body in chunks.
func readTrailer(reader *bufio.Reader, response *fasthttp.Response) error {
	trailer, err := peekSection(reader, strict.EndOfTrailer)
	if err != nil {
		return err
	}
	if err := strict.CheckTrailer(trailer); err != nil {
		return errors.Wrap(err, "read the trailer")
	}
	return errors.Wrap(response.Header.ReadTrailer(reader), "read the trailer")
}

// peekSection waits for a section of an answer whose length is returned by endOf, or -1
// while its end is missing. It consumes nothing, and fails if the section is longer than
// the reader's buffer.
func peekSection(reader *bufio.Reader, endOf func(data []byte, from int) int) ([]byte, error) {
	searched := 0
	for {
		_, err := reader.Peek(searched + 1)
		data, _ := reader.Peek(reader.Buffered())
		if n := endOf(data, searched); n >= 0 {
			return data[:n], nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "received %d bytes without an empty line", len(data))
		}
		searched = len(data)
	}
}

// hasBody reports whether HTTP allows a body in an answer with the status to a
// request with the method.
func hasBody(method string, status int) bool {
	return method != fasthttp.MethodHead && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// copyHead returns the answer without its body.
func copyHead(response *fasthttp.Response) Answer {
	answer := Answer{status: response.StatusCode()}
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
