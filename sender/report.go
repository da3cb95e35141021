package sender

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// reportBytesMax is the largest load report that is read.
const reportBytesMax = 64 << 10

// Report is what a target said of itself. It may lag or mislead: what was
// observed of the target's own answers counts for more.
type Report struct {
	running     int
	slots       int
	connections int
	leaving     bool
	healthy     bool
	at          time.Time
}

// Known tells whether the target has reported at all. A Report that is not
// known says nothing: it does not mean that the target is idle.
func (r Report) Known() bool { return !r.at.IsZero() }

// Running returns how many requests the target runs.
func (r Report) Running() int { return r.running }

// Slots returns how many requests the target runs at once at most.
func (r Report) Slots() int { return r.slots }

// Connections returns how many connections the target has open.
func (r Report) Connections() int { return r.connections }

// Leaving tells whether the target announced that it is leaving.
func (r Report) Leaving() bool { return r.leaving }

// Healthy tells whether the target says that it is well.
func (r Report) Healthy() bool { return r.healthy }

// Age returns how old the report is at the time now.
func (r Report) Age(now time.Time) time.Duration { return now.Sub(r.at) }

// Report asks the target for its load. The age of the report counts from when
// it was asked for.
func (c *Client) Report(ctx context.Context) (Report, error) {
	asked := time.Now()
	request := NewRequest("GET", "/load", time.Time{}).WithAnswerBytesMax(reportBytesMax)
	answer, err := c.do(ctx, request)
	if err != nil {
		return Report{}, err
	}
	var body struct {
		Running     int  `json:"running"`
		Slots       int  `json:"slots"`
		Connections int  `json:"connections"`
		Leaving     bool `json:"leaving"`
		Healthy     bool `json:"healthy"`
	}
	if answer.status != 200 {
		return Report{}, errors.Newf("target %s: the load report has status %d, want 200", c.name, answer.status)
	}
	if err := json.Unmarshal(answer.body, &body); err != nil {
		return Report{}, errors.Wrapf(err, "target %s: load report", c.name)
	}
	return Report{
		running: body.Running, slots: body.Slots, connections: body.Connections,
		leaving: body.Leaving, healthy: body.Healthy, at: asked,
	}, nil
}

// LastReport returns the latest load report that Poll read. It is not Known
// before the first one.
func (c *Client) LastReport() Report {
	if report := c.report.Load(); report != nil {
		return *report
	}
	return Report{}
}

// Leaving tells whether the target itself has announced that it is leaving.
// Only a later report to the contrary takes that back: silence does not.
func (c *Client) Leaving() bool { return c.LastReport().leaving }

// Poll reads a load report and keeps it. On an error the last one stays.
func (c *Client) Poll(ctx context.Context) error {
	report, err := c.Report(ctx)
	if err != nil {
		return err
	}
	c.report.Store(&report)
	return nil
}
