package entry

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// Headers of requests and answers on the callers' port.
const (
	HeaderVerdict  = "Endivechute-Verdict"
	HeaderReason   = "Endivechute-Reason"
	HeaderComeBack = "Endivechute-Come-Back-Ms"
	HeaderDeadline = "Endivechute-Deadline-Ms"
	HeaderKey      = "Endivechute-Key"
	HeaderLookup   = "Endivechute-Lookup"
	HeaderTarget   = "Endivechute-Target"
)

// Limits of the callers' port.
const (
	RequestBytesMax = 1 << 20
	// bodyBytesReadMax is the number of body bytes after which the connection
	// is closed. It exceeds RequestBytesMax so that a caller whose body is
	// moderately too large gets an error answer instead of a connection reset.
	bodyBytesReadMax  = 4 * RequestBytesMax
	HeadBytesMax      = 16 << 10
	callerReadTimeout = 10 * time.Second
	callerIdleTimeout = 60 * time.Second
	deadlineMillisMax = 600_000
)

// NewApp returns the HTTP application of the callers' port.
func (e *Entry) NewApp() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:               "endivechute",
		BodyLimit:             bodyBytesReadMax,
		ReadBufferSize:        HeadBytesMax,
		ReadTimeout:           callerReadTimeout,
		IdleTimeout:           callerIdleTimeout,
		DisableStartupMessage: true,
		ErrorHandler:          e.writeError,
	})
	app.Get("/v1/lookup", e.serveLookup)
	app.All("/s/:team/:service/*", e.serveRequest)
	app.Use(func(c *fiber.Ctx) error {
		return errs.NotRun(errs.ReasonBadRequest, 0, "unknown path %q: want /v1/lookup?service=team/service or /s/team/service/path", c.Path())
	})
	return app
}

func (e *Entry) serveLookup(c *fiber.Ctx) error {
	service, err := place.ParseService(utils.CopyString(c.Query("service")))
	if err != nil {
		return errs.NotRun(errs.ReasonBadRequest, 0, "%v", err)
	}
	result, err := e.Lookup(service, remoteAddress(c))
	if err != nil {
		return err
	}
	type entry struct {
		Instance place.Instance `json:"instance"`
		Zone     place.Zone     `json:"zone"`
		Address  string         `json:"address"`
	}
	entries := make([]entry, 0, len(result.entries))
	for _, n := range result.entries {
		entries = append(entries, entry{n.Instance, n.Zone, n.CallerAddress})
	}
	return errors.Wrap(c.JSON(struct {
		Service    place.Service `json:"service"`
		Entries    []entry       `json:"entries"`
		KeyPrefix  string        `json:"key_prefix"`
		ExpiresIn  int64         `json:"expires_in_ms"`
		RetryAfter int64         `json:"come_back_ms"`
	}{service, entries, result.keyPrefix, result.expires.Milliseconds(), result.expires.Milliseconds() / 2}), "write the answer")
}

// serveRequest serves a request for a target. The header Endivechute-Lookup:
// again tells the caller to repeat its look-up, because this process is leaving
// or the error can only be resolved by one.
func (e *Entry) serveRequest(c *fiber.Ctx) error {
	r, err := e.readRequest(c)
	if err != nil {
		return err
	}
	answer, err := e.Serve(context.Background(), r)
	if e.leaving.Load() || (err != nil && needsNewLookup(err)) {
		c.Set(HeaderLookup, "again")
	}
	if err != nil {
		return err
	}
	writeAnswer(c, answer)
	return nil
}

// remoteAddress returns the IP address of the client, or the zero Addr if the
// connection has none.
func remoteAddress(c *fiber.Ctx) netip.Addr {
	address, _ := netip.AddrFromSlice(c.Context().RemoteIP())
	return address.Unmap()
}

// readRequest parses a request. It copies everything that it keeps, because
// fiber reuses the buffers of the connection for the next request.
func (e *Entry) readRequest(c *fiber.Ctx) (*Request, error) {
	service, err := place.ParseService(utils.CopyString(c.Params("team")) + "/" + utils.CopyString(c.Params("service")))
	if err != nil {
		return nil, errs.NotRun(errs.ReasonBadRequest, 0, "%v", err)
	}
	if len(c.Body()) > RequestBytesMax {
		return nil, errs.NotRun(errs.ReasonBadRequest, 0, "the body is too large: got %d bytes, want at most %d", len(c.Body()), RequestBytesMax)
	}
	deadline, err := e.readDeadline(c.Get(HeaderDeadline))
	if err != nil {
		return nil, err
	}
	path := strings.Clone(string(c.Request().URI().RequestURI()))
	path = strings.TrimPrefix(path, "/s/"+string(service))
	return NewRequest(service, utils.CopyString(c.Method()), path, readHeaders(c), utils.CopyBytes(c.Body()), utils.CopyString(c.Get(HeaderKey)), deadline), nil
}

// readDeadline parses the header HeaderDeadline. It returns the zero Time if the
// header is missing.
func (e *Entry) readDeadline(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.Atoi(text)
	if err != nil || millis <= 0 || millis > deadlineMillisMax {
		return time.Time{}, errs.NotRun(errs.ReasonBadRequest, 0, "invalid header %s: %q: want 1 to %d milliseconds", HeaderDeadline, text, deadlineMillisMax)
	}
	return e.now().Add(time.Duration(millis) * time.Millisecond), nil
}

func readHeaders(c *fiber.Ctx) []wire.Header {
	var headers []wire.Header
	for name, value := range c.Request().Header.All() {
		if !isHopHeader(string(name)) {
			headers = append(headers, wire.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}

// isHopHeader reports whether a header is not forwarded, because it applies to a
// single connection or is read or written by the entry itself.
func isHopHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "expect",
		"content-length", "host", "proxy-connection", "proxy-authorization", "date", "server":
		return true
	}
	return strings.HasPrefix(strings.ToLower(name), "endivechute-")
}

func writeAnswer(c *fiber.Ctx, answer *wire.Answer) {
	for _, h := range answer.Headers {
		if !isHopHeader(h.Name) {
			c.Response().Header.Add(h.Name, h.Value)
		}
	}
	c.Set(HeaderVerdict, errs.VerdictRan.String())
	c.Set(HeaderTarget, string(answer.Target))
	c.Status(answer.Status)
	c.Response().SetBodyRaw(answer.Body)
}

// writeError is fiber's error handler. It writes the verdict, the reason and the
// time to wait before a retry. Errors of fiber itself become bad-request.
func (e *Entry) writeError(c *fiber.Ctx, err error) error {
	refusal := errs.AsRefusal(err)
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		refusal = errs.NotRun(errs.ReasonBadRequest, 0, "%s", fiberErr.Message)
	}
	c.Set(HeaderVerdict, refusal.Verdict().String())
	c.Set(HeaderReason, string(refusal.Reason()))
	if refusal.RetryAfter() > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(refusal.RetryAfter().Seconds()))))
		c.Set(HeaderComeBack, strconv.FormatInt(refusal.RetryAfter().Milliseconds(), 10))
	}
	return errors.Wrap(c.Status(statusOf(refusal)).JSON(struct {
		Verdict    string      `json:"verdict"`
		Reason     errs.Reason `json:"reason"`
		Message    string      `json:"message"`
		RetryAfter int64       `json:"come_back_ms"`
	}{refusal.Verdict().String(), refusal.Reason(), refusal.Message(), refusal.RetryAfter().Milliseconds()}), "write the refusal")
}

// statusOf returns the HTTP status for a refusal.
func statusOf(refusal *errs.Refusal) int {
	switch refusal.Reason() {
	case errs.ReasonBadRequest, errs.ReasonKeyInvalid:
		return http.StatusBadRequest
	case errs.ReasonNoService:
		return http.StatusNotFound
	case errs.ReasonKeyMissing:
		return http.StatusPreconditionRequired
	case errs.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		if refusal.Verdict() == errs.VerdictNotRun {
			return http.StatusServiceUnavailable
		}
		return http.StatusBadGateway
	}
}
