package replay

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	svg "github.com/ajstarks/svgo"
	"github.com/cockroachdb/errors"
)

// Tally counts requests by their result.
type Tally struct {
	Requests, InAim, Late, Refused, Failed int
	worth, bestWorth                       float64
}

// Worth returns the value of the answers that callers received as a fraction of
// the value if every request were answered within its aim, from 0 to 1.
func (t Tally) Worth() float64 {
	if t.bestWorth == 0 {
		return 0
	}
	return t.worth / t.bestWorth
}

func (t *Tally) add(k *RequestKind, inAim, served, refused bool) {
	t.Requests++
	t.bestWorth += k.Worth
	switch {
	case inAim:
		t.InAim++
		t.worth += k.Worth
	case served:
		t.Late++
		t.worth += k.LateWorth
	case refused:
		t.Refused++
	default:
		t.Failed++
	}
}

// Result holds the results of all requests of a run.
type Result struct {
	scenario *Scenario
	all      Tally
	kinds    map[string]*Tally
	zones    map[string]*Tally
	seconds  []Tally
	// loads holds each target's mean load per slot in each second.
	loads [][]float64
}

func newResult(scenario *Scenario) *Result {
	return &Result{
		scenario: scenario, kinds: map[string]*Tally{}, zones: map[string]*Tally{},
		seconds: make([]Tally, int(math.Ceil(scenario.Duration.Duration().Seconds()))),
	}
}

// All returns the tally of all requests.
func (r *Result) All() Tally { return r.all }

// Kind returns the tally of the requests of a kind.
func (r *Result) Kind(name string) Tally { return *tallyOf(r.kinds, name) }

// ServedShare returns the share of the requests that were answered, from 0 to 1.
func (t Tally) ServedShare() float64 {
	if t.Requests == 0 {
		return 0
	}
	return float64(t.InAim+t.Late) / float64(t.Requests)
}

// HighestLoad returns the highest of the targets' mean numbers of requests, running
// or waiting, per slot from second from up to, but not including, second to.
func (r *Result) HighestLoad(from, to int) float64 {
	highest := 0.0
	for _, loads := range r.loads {
		sum := 0.0
		for _, load := range loads[from:to] {
			sum += load
		}
		highest = max(highest, sum/float64(to-from))
	}
	return highest
}

// Between returns the worth of the requests that callers first sent from second
// from up to, but not including, second to.
func (r *Result) Between(from, to int) float64 {
	var sum Tally
	for _, t := range r.seconds[from:min(to, len(r.seconds))] {
		sum.worth += t.worth
		sum.bestWorth += t.bestWorth
	}
	return sum.Worth()
}

func (r *Result) addServed(q *request, took time.Duration) {
	r.add(q, took <= q.kind.Aim.Duration(), true, false)
}

func (r *Result) addUnserved(q *request, refused bool) { r.add(q, false, false, refused) }

func (r *Result) add(q *request, inAim, served, refused bool) {
	second := min(int(q.firstSent.Seconds()), len(r.seconds)-1)
	for _, t := range []*Tally{&r.all, tallyOf(r.kinds, q.kind.Name), tallyOf(r.zones, q.zone), &r.seconds[second]} {
		t.add(q.kind, inAim, served, refused)
	}
}

func tallyOf(tallies map[string]*Tally, name string) *Tally {
	if tallies[name] == nil {
		tallies[name] = &Tally{}
	}
	return tallies[name]
}

// WriteTable writes the tallies by kind and by zone as a table.
func (r *Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, t Tally) {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", name, t.Requests, t.InAim, t.Late, t.Refused, t.Failed, t.Worth())
	}
	_, _ = fmt.Fprintln(table, "\tasked\tin aim\tlate\trefused\tfailed\tworth\t")
	for _, k := range r.scenario.Kinds {
		row(k.Name, *tallyOf(r.kinds, k.Name))
	}
	for _, region := range r.scenario.Regions {
		for i := range r.scenario.ZonesPerRegion {
			zone := fmt.Sprintf("%s/%d", region, i+1)
			row(zone, *tallyOf(r.zones, zone))
		}
	}
	row("all", r.all)
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	_, err := fmt.Fprintf(w, "highest mean load per slot of a target: %.2f\n", r.HighestLoad(0, len(r.seconds)))
	return errors.Wrap(err, "write the table")
}

// Dimensions of the plot in pixels.
const (
	plotWidth, plotHeight = 800, 240
	plotMargin            = 40
)

// WritePlot writes a plot of the worth in each second as SVG.
func (r *Result) WritePlot(w io.Writer) {
	canvas := svg.New(w)
	canvas.Start(plotWidth, plotHeight)
	canvas.Rect(0, 0, plotWidth, plotHeight, "fill:white")
	innerWidth, innerHeight := plotWidth-2*plotMargin, plotHeight-2*plotMargin
	xOf := func(second int) int { return plotMargin + second*innerWidth/max(len(r.seconds)-1, 1) }
	yOf := func(worth float64) int { return plotMargin + int((1-worth)*float64(innerHeight)) }
	for _, worth := range []float64{0, 0.25, 0.5, 0.75, 1} {
		canvas.Line(plotMargin, yOf(worth), plotWidth-plotMargin, yOf(worth), "stroke:lightgrey")
		canvas.Text(plotMargin-4, yOf(worth)+4, fmt.Sprint(worth), "font-size:10px;text-anchor:end")
	}
	xs, ys := make([]int, 0, len(r.seconds)), make([]int, 0, len(r.seconds))
	const labelEvery = 5
	for second, t := range r.seconds {
		xs, ys = append(xs, xOf(second)), append(ys, yOf(t.Worth()))
		if second%labelEvery == 0 {
			canvas.Text(xOf(second), plotHeight-plotMargin+14, fmt.Sprint(second, " s"), "font-size:10px;text-anchor:middle")
		}
	}
	canvas.Polyline(xs, ys, "fill:none;stroke:black;stroke-width:1.5")
	canvas.Text(plotMargin, plotMargin/2, r.scenario.Name+": worth of the requests of each second", "font-size:12px")
	canvas.End()
}
