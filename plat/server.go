// Package plat is a small fake of the platform for tests and experiments: a
// versioned object store with conditional updates and watches, and a list of
// instances that can lag. Faults can be switched on and off while it runs. It
// keeps everything in memory.
package plat

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/etag"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/store"
)

const (
	// watchWaitMax is the longest wait of one watch.
	watchWaitMax = 60 * time.Second
	// closeTimeout limits how long Close waits for calls in progress.
	closeTimeout = 2 * time.Second
	// bodyBytesMax limits the body of any call.
	bodyBytesMax = 16 << 20
)

// Kinds of calls in the result of Counts.
const (
	KindGet       = "get"
	KindPut       = "put"
	KindDelete    = "delete"
	KindList      = "list"
	KindWatch     = "watch"
	KindInstances = "instances"
)

// Server serves the platform's HTTP protocol and the calls that control the fake.
type Server struct {
	objects  *objects
	control  *control
	log      *logrus.Logger
	app      *fiber.App
	listener net.Listener
	serving  conc.WaitGroup
	closed   chan struct{}
}

// New makes a server that does not listen yet.
func New(logger *logrus.Logger) *Server {
	s := &Server{objects: newObjects(), control: newControl(time.Now), log: logger, closed: make(chan struct{})}
	s.app = fiber.New(fiber.Config{
		Immutable:             true,
		DisableStartupMessage: true,
		BodyLimit:             bodyBytesMax,
		UnescapePath:          true,
	})
	s.app.Get("/v1/objects/*", s.call(KindGet, s.get))
	s.app.Put("/v1/objects/*", s.call(KindPut, s.put))
	s.app.Delete("/v1/objects/*", s.call(KindDelete, s.remove))
	s.app.Get("/v1/list", s.call(KindList, s.list))
	s.app.Get("/v1/watch", s.call(KindWatch, s.watch))
	s.app.Get("/v1/instances", etag.New(), s.call(KindInstances, s.instances))
	s.app.Post("/control/faults", s.postFaults)
	s.app.Post("/control/tokens", s.postTokens)
	s.app.Post("/control/instances", s.postInstances)
	s.app.Get("/control/counts", func(c *fiber.Ctx) error { return c.JSON(s.control.callCounts()) })
	return s
}

// Listen listens on the address "host:port" and serves calls in the background
// until Close.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	s.listener = listener
	s.serving.Go(func() {
		if err := s.app.Listener(listener); err != nil {
			s.log.WithError(err).Error("The server stopped with an error.")
		}
	})
	return nil
}

// Addr returns the address "host:port" that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends all watches and stops serving. It closes the listener itself, because
// fiber's shutdown doesn't close a listener that it doesn't serve yet.
func (s *Server) Close() error {
	close(s.closed)
	err := s.app.ShutdownWithTimeout(closeTimeout)
	_ = s.listener.Close()
	s.serving.Wait()
	return errors.Wrap(err, "stop serving")
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) { s.control.setFaults(faults) }

// SetTokens replaces the tokens. The value of a token is the subtree that it permits
// writes to, or several separated by commas. Without tokens all writes are
// permitted.
func (s *Server) SetTokens(tokens map[string]string) { s.control.setTokens(tokens) }

// SetRoster replaces the list of instances.
func (s *Server) SetRoster(roster store.Roster) { s.control.setRoster(roster) }

// Counts returns the number of calls so far by kind.
func (s *Server) Counts() map[string]uint64 { return s.control.callCounts() }

// call returns a handler that counts the calls of a kind and applies the faults.
func (s *Server) call(kind string, handler fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		s.control.countCall(kind)
		faults, _ := s.control.currentFaults()
		delay := time.Duration(faults.SlowMillis) * time.Millisecond / 2
		time.Sleep(delay)
		if faults.Down {
			return drop(c)
		}
		if err := handler(c); err != nil {
			return err
		}
		time.Sleep(delay)
		if (kind == KindPut || kind == KindDelete) && c.Response().StatusCode() == http.StatusOK && s.control.loseReply() {
			return drop(c)
		}
		return nil
	}
}

// drop closes the connection without a reply.
func drop(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(net.Conn) {})
	return nil
}

type objectBody struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted"`
	Value   []byte `json:"value"`
}

func newObjectBody(o store.Object) objectBody {
	return objectBody{Path: o.Path(), Version: o.Version(), Deleted: o.Deleted(), Value: o.Value()}
}

func (s *Server) get(c *fiber.Ctx) error {
	object, err := s.objects.get(pathOf(c))
	if err != nil {
		return fiber.ErrNotFound
	}
	return writeJSON(c, newObjectBody(object))
}

func (s *Server) put(c *fiber.Ctx) error {
	if len(c.Body()) > store.ValueBytesMax {
		return fiber.ErrRequestEntityTooLarge
	}
	return s.write(c, slices.Clone(c.Body()), false)
}

func (s *Server) remove(c *fiber.Ctx) error { return s.write(c, nil, true) }

func (s *Server) write(c *fiber.Ctx, value []byte, deleted bool) error {
	token := strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !s.control.mayWrite(token, pathOf(c)) {
		return fiber.ErrForbidden
	}
	ifVersion, err := parseUint(c, "if_version")
	if err != nil {
		return err
	}
	version, err := s.objects.write(pathOf(c), value, deleted, ifVersion)
	if errors.Is(err, store.ErrNotFound) {
		return fiber.ErrNotFound
	}
	if err != nil {
		c.Status(http.StatusConflict)
	}
	return writeJSON(c, struct {
		Version uint64 `json:"version"`
	}{version})
}

func (s *Server) list(c *fiber.Ctx) error {
	found, revision, _ := s.objects.since(c.Query("prefix"), 0)
	return writeObjects(c, found, revision)
}

func (s *Server) watch(c *fiber.Ctx) error {
	after, err := parseUint(c, "after")
	if err != nil {
		return err
	}
	wait, err := parseUint(c, "wait_ms")
	if err != nil {
		return err
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, watchWaitMax))
	defer timer.Stop()
	for {
		faults, faultsChanged := s.control.currentFaults()
		if faults.Down {
			return drop(c)
		}
		found, revision, changed := s.objects.since(c.Query("prefix"), after)
		if len(found) > 0 {
			return writeObjects(c, found, revision)
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-s.closed:
			return writeObjects(c, nil, revision)
		case <-timer.C:
			return writeObjects(c, nil, revision)
		}
	}
}

func writeObjects(c *fiber.Ctx, found []store.Object, revision uint64) error {
	bodies := make([]objectBody, 0, len(found))
	for _, o := range found {
		bodies = append(bodies, newObjectBody(o))
	}
	return writeJSON(c, struct {
		Revision uint64       `json:"revision"`
		Objects  []objectBody `json:"objects"`
	}{revision, bodies})
}

func (s *Server) instances(c *fiber.Ctx) error { return writeJSON(c, s.control.roster()) }

func (s *Server) postFaults(c *fiber.Ctx) error {
	var faults Faults
	if err := c.App().Config().JSONDecoder(c.Body(), &faults); err != nil {
		return badRequest(err.Error())
	}
	s.control.setFaults(faults)
	return nil
}

func (s *Server) postTokens(c *fiber.Ctx) error {
	tokens := map[string]string{}
	if err := c.App().Config().JSONDecoder(c.Body(), &tokens); err != nil {
		return badRequest(err.Error())
	}
	s.control.setTokens(tokens)
	return nil
}

func (s *Server) postInstances(c *fiber.Ctx) error {
	var roster store.Roster
	if err := c.App().Config().JSONDecoder(c.Body(), &roster); err != nil {
		return badRequest(err.Error())
	}
	s.control.setRoster(roster)
	return nil
}

func writeJSON(c *fiber.Ctx, body any) error {
	return errors.Wrap(c.JSON(body), "write the reply")
}

func badRequest(text string) error {
	return errors.WithStack(fiber.NewError(http.StatusBadRequest, text))
}

func pathOf(c *fiber.Ctx) string { return c.Params("*") }

func parseUint(c *fiber.Ctx, name string) (uint64, error) {
	value, err := strconv.ParseUint(c.Query(name, "0"), 10, 64)
	if err != nil {
		return 0, badRequest(name + ": want a whole number that is not negative")
	}
	return value, nil
}
