package pipe

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// errDropped is the error of writing the answer to a request that net/http never reaches.
var errDropped = errors.New("the connection closed before the request's turn")

// early is a request that was started before net/http has reached it.
type early struct {
	request *http.Request
	cancel  context.CancelFunc
	// method, uri and host tell the request when net/http reaches it. The handler may change
	// the request itself.
	method, uri, host string
	// reached is closed when net/http reaches the request, after writer is set, and dropped
	// when it is known that it never will. done is closed when the handler has ended, after
	// fault is set.
	reached, dropped, done chan struct{}
	writer                 http.ResponseWriter
	// fault is what the handler panicked with, nil if it didn't.
	fault any
	// abandoned is true if the request was canceled before its turn.
	abandoned bool
}

func newEarly(parent context.Context, r *http.Request) *early {
	ctx, cancel := context.WithCancel(context.WithValue(parent, earlyKey{}, true))
	return &early{
		request: r.WithContext(ctx), cancel: cancel, method: r.Method, uri: r.RequestURI, host: r.Host,
		reached: make(chan struct{}), dropped: make(chan struct{}), done: make(chan struct{}),
	}
}

// isFor reports whether net/http's request is this one.
func (e *early) isFor(r *http.Request) bool {
	return e.method == r.Method && e.uri == r.RequestURI && e.host == r.Host
}

// run has the request handled.
func (e *early) run(handler http.Handler) {
	defer close(e.done)
	defer e.cancel()
	// The panic continues in net/http's goroutine, if the request gets its turn.
	defer func() { e.fault = recover() }()
	w := &writer{early: e, header: http.Header{}}
	handler.ServeHTTP(w, e.request)
	_ = w.await()
}

// handOver lets the handler write the answer, and returns when it has ended. It panics
// if the handler did.
func (e *early) handOver(w http.ResponseWriter, r *http.Request) {
	defer context.AfterFunc(r.Context(), e.cancel)()
	e.writer = w
	close(e.reached)
	<-e.done
	if e.fault != nil {
		panic(e.fault)
	}
}

// abandon cancels the request and reports whether that is new.
func (e *early) abandon() bool {
	select {
	case <-e.done:
		return false
	default:
	}
	e.cancel()
	isNew := !e.abandoned
	e.abandoned = true
	return isNew
}

// writer is the ResponseWriter of a request that was started early. All but Header blocks
// until net/http reaches the request.
type writer struct {
	early  *early
	target http.ResponseWriter
	header http.Header
}

// await waits for the request's turn. It returns errDropped if that never comes.
func (w *writer) await() error {
	if w.target != nil {
		return nil
	}
	select {
	case <-w.early.reached:
	case <-w.early.dropped:
		return errDropped
	}
	w.target = w.early.writer
	header := w.target.Header()
	for name, values := range w.header {
		header[name] = values
	}
	w.header = header
	return nil
}

// Header implements http.ResponseWriter.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if w.await() == nil {
		w.target.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *writer) Write(data []byte) (int, error) {
	if err := w.await(); err != nil {
		return 0, err
	}
	return w.target.Write(data) //nolint:wrapcheck // a wrapper adds nothing
}

// FlushError is for http.ResponseController.
func (w *writer) FlushError() error {
	if err := w.await(); err != nil {
		return err
	}
	return http.NewResponseController(w.target).Flush() //nolint:wrapcheck // a wrapper adds nothing
}

// SetWriteDeadline is for http.ResponseController.
func (w *writer) SetWriteDeadline(deadline time.Time) error {
	if err := w.await(); err != nil {
		return err
	}
	return http.NewResponseController(w.target).SetWriteDeadline(deadline) //nolint:wrapcheck // a wrapper adds nothing
}
