package sender

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// reportBytesMax is the maximum size of a load report, in bytes.
const reportBytesMax = 64 << 10

// LoadReport is a load report of a target. It may be outdated or wrong, so what
// is observed from the target's answers takes precedence.
type LoadReport struct {
	running     int
	slots       int
	connections int
	leaving     bool
	healthy     bool
	askedAt     time.Time
}

// Known reports whether there is a load report. The zero LoadReport is not
// known; its zeros do not mean that the target is idle.
func (r LoadReport) Known() bool { return !r.askedAt.IsZero() }

// Running returns the number of requests that the target is running.
func (r LoadReport) Running() int { return r.running }

// Slots returns the maximum number of requests that the target runs concurrently.
func (r LoadReport) Slots() int { return r.slots }

// Connections returns the number of connections that are open at the target.
func (r LoadReport) Connections() int { return r.connections }

// Leaving reports whether the target announced that it is leaving.
func (r LoadReport) Leaving() bool { return r.leaving }

// Healthy reports whether the target declared itself healthy.
func (r LoadReport) Healthy() bool { return r.healthy }

// Age returns the age of the report at the time now.
func (r LoadReport) Age(now time.Time) time.Duration { return now.Sub(r.askedAt) }

// FetchReport requests a load report from the target. The age of the report
// counts from the time of the request.
func (c *Client) FetchReport(ctx context.Context) (LoadReport, error) {
	asked := time.Now()
	request := NewRequest("GET", "/load", time.Time{}).WithAnswerBytesMax(reportBytesMax)
	answer, err := c.do(ctx, request)
	if err != nil {
		return LoadReport{}, err
	}
	var body struct {
		Running     int  `json:"running"`
		Slots       int  `json:"slots"`
		Connections int  `json:"connections"`
		Leaving     bool `json:"leaving"`
		Healthy     bool `json:"healthy"`
	}
	if answer.status != 200 {
		return LoadReport{}, errors.Newf("target %s: GET /load returned status %d, want 200", c.name, answer.status)
	}
	if err := json.Unmarshal(answer.body, &body); err != nil {
		return LoadReport{}, errors.Wrapf(err, "target %s: decode the load report", c.name)
	}
	return LoadReport{
		running: body.Running, slots: body.Slots, connections: body.Connections,
		leaving: body.Leaving, healthy: body.Healthy, askedAt: asked,
	}, nil
}

// LastReport returns the load report of the last successful UpdateReport. It is
// not Known before the first one.
func (c *Client) LastReport() LoadReport {
	if report := c.report.Load(); report != nil {
		return *report
	}
	return LoadReport{}
}

// Leaving reports whether the last load report announced that the target is
// leaving. Only a later report can revoke that; a failed UpdateReport does not.
func (c *Client) Leaving() bool { return c.LastReport().leaving }

// UpdateReport requests a load report and stores it. On an error the previous
// report is kept.
func (c *Client) UpdateReport(ctx context.Context) error {
	report, err := c.FetchReport(ctx)
	if err != nil {
		return err
	}
	c.report.Store(&report)
	return nil
}
