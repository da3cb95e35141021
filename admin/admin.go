// Package admin serves the operators' port of a process: a dump of its state, its
// metrics and its health checks. The port is separate from the callers' port.
package admin

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// LiftPage is the page that ends the quarantine of the request whose fingerprint is in
// the query, by POST.
const LiftPage = "/quarantines/lift"

// LiftAnswer returns the status and the text of the answer to a request for LiftPage,
// from what poison.Guard.Lift returned.
func LiftAnswer(lifted bool, err error) (status int, text string) {
	switch {
	case err != nil:
		return http.StatusBadRequest, err.Error() + "\n"
	case !lifted:
		return http.StatusNotFound, "no such request is quarantined at this instance\n"
	default:
		return http.StatusOK, "the quarantine has ended; the other instances are told\n"
	}
}

// Limits of the operators' port.
const (
	readTimeout  = 10 * time.Second
	idleTimeout  = 60 * time.Second
	bodyBytesMax = 4 << 10
)

// New returns the HTTP application of the operators' port. dump returns the state
// of the process, which is written as JSON. ready reports whether callers may be
// sent to the process. lift ends the quarantine of a request, like poison.Guard.Lift.
func New(registry *prometheus.Registry, dump func() any, ready func() bool, lift func(fingerprint string) (bool, error)) *fiber.App {
	app := fiber.New(fiber.Config{
		AppName: "endivechute operators", DisableStartupMessage: true,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, BodyLimit: bodyBytesMax,
	})
	app.Get("/dump", func(c *fiber.Ctx) error {
		return errors.Wrap(c.JSON(dump()), "write the dump")
	})
	app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	app.Post(LiftPage, func(c *fiber.Ctx) error {
		status, text := LiftAnswer(lift(c.Query("fingerprint")))
		return errors.Wrap(c.Status(status).SendString(text), "write the answer")
	})
	app.Get("/health/alive", func(c *fiber.Ctx) error {
		return errors.Wrap(c.SendString("alive\n"), "write the health")
	})
	app.Get("/health/ready", func(c *fiber.Ctx) error {
		if !ready() {
			return errors.Wrap(c.Status(http.StatusServiceUnavailable).SendString("not ready\n"), "write the health")
		}
		return errors.Wrap(c.SendString("ready\n"), "write the health")
	})
	return app
}
