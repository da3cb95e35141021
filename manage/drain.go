package manage

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
)

// drainAttempts is the number of attempts on conflicts. A drain adds or removes
// one list item, so it can be applied after any other change.
const drainAttempts = 4

// Settings that drains change.
const (
	fieldLeaving      = "leaving"
	fieldLeavingZones = "leaving_zones"
	fieldDiversions   = "diversions"
)

// Drain describes what to drain of a service: one target, one availability zone
// or one region.
type Drain struct {
	// Service is the service, as team/service.
	Service place.Service
	// Target receives no new requests; requests in flight are completed.
	Target place.Target
	// Zone is drained like a target, with all targets of the service in it.
	Zone place.Zone
	// Region is the region from which a share of the arriving requests is
	// diverted to region To, in steps of the team's step_percent.
	Region place.Region
	To     place.Region
	// Percent is the share to divert. Zero means the rest of cap_percent.
	Percent float64
	// Undo reverts the drain.
	Undo bool
}

// Validate returns an error unless the drain names a service and exactly one of a
// target, a zone and a region, with a valid percentage.
func (d Drain) Validate() error {
	if _, err := place.ParseService(string(d.Service)); err != nil {
		return err
	}
	count := 0
	for _, set := range []bool{d.Target != "", d.Zone != "", d.Region != ""} {
		if set {
			count++
		}
	}
	switch {
	case count != 1:
		return errors.Newf("%d of target, zone and region are given; want exactly one", count)
	case d.Region != "" && d.To == "" && !d.Undo:
		return errors.New("to: no region is given; want the one that receives the diverted requests")
	case d.Percent < 0 || d.Percent > 100:
		return errors.Newf("percent: invalid value %g; want 0 to 100", d.Percent)
	}
	return nil
}

// Drain starts or reverts a drain and prints the report. It implements
// `drain --service TEAM/SERVICE (--target T | --zone R/Z | --region R --to R
// [--percent P]) [--undo]`.
func (o *Operator) Drain(ctx context.Context, d Drain) (Report, error) {
	if err := d.Validate(); err != nil {
		return Report{}, err
	}
	var report Report
	for range drainAttempts {
		var err error
		report, err = o.drainOnce(ctx, d)
		if err != nil {
			return report, err
		}
		if report.outcome != OutcomeConflict {
			break
		}
	}
	return o.printReport(report)
}

func (o *Operator) drainOnce(ctx context.Context, d Drain) (Report, error) {
	path := config.ServicePath(d.Service)
	percentLeft := 0.0
	if d.Region != "" && !d.Undo && d.Percent == 0 {
		left, err := o.remainingCap(ctx, d)
		if err != nil {
			return Report{}, err
		}
		percentLeft = left
	}
	return o.edit(ctx, path, func(fields map[string]any) error {
		switch {
		case d.Target != "":
			return updateList(fields, fieldLeaving, string(d.Target), d.Undo)
		case d.Zone != "":
			return updateList(fields, fieldLeavingZones, string(d.Zone), d.Undo)
		}
		return setDiversion(fields, d, percentLeft)
	})
}

// remainingCap returns the part of the region's cap that its diversions to other
// regions than d.To don't use, in percent.
func (o *Operator) remainingCap(ctx context.Context, d Drain) (float64, error) {
	tables, err := o.loadSettings(ctx)
	if err != nil {
		return 0, errors.Wrap(err, "nothing was written")
	}
	policy, found := tables.Policy(d.Service)
	if !found {
		return 0, errors.Newf("%s: the service has no settings", config.ServicePath(d.Service))
	}
	left := policy.CapPercentOf(d.Region)
	for _, diversion := range policy.Diversions() {
		if diversion.From() == d.Region && diversion.To() != d.To {
			left -= diversion.Percent()
		}
	}
	if left <= 0 {
		return 0, errors.Newf("cap_percent: diversions from %s use the whole cap of %g percent; raise it with `policy edit`", d.Region, policy.CapPercentOf(d.Region))
	}
	return left, nil
}

// updateList adds a name to a list of the settings, or removes it.
func updateList(fields map[string]any, list, name string, remove bool) error {
	names, isList := fields[list].([]any)
	if fields[list] != nil && !isList {
		return errors.Newf("%s: not a list", list)
	}
	names = slices.DeleteFunc(names, func(member any) bool { return member == name })
	if !remove {
		names = append(names, name)
	}
	setList(fields, list, names)
	return nil
}

// setDiversion replaces the diversion between the two regions, or removes the
// diversions from the region.
func setDiversion(fields map[string]any, d Drain, percentLeft float64) error {
	diversions, isList := fields[fieldDiversions].([]any)
	if fields[fieldDiversions] != nil && !isList {
		return errors.Newf("%s: not a list", fieldDiversions)
	}
	diversions = slices.DeleteFunc(diversions, func(member any) bool {
		diversion, _ := member.(map[string]any)
		return diversion["from"] == string(d.Region) && (d.To == "" || diversion["to"] == string(d.To))
	})
	if !d.Undo {
		percent := d.Percent
		if percent == 0 {
			percent = percentLeft
		}
		diversions = append(diversions, map[string]any{"from": string(d.Region), "to": string(d.To), "percent": percent})
	}
	setList(fields, fieldDiversions, diversions)
	return nil
}

// setList sets a field to a list, or removes the field if the list is empty.
func setList(fields map[string]any, name string, list []any) {
	if len(list) == 0 {
		delete(fields, name)
		return
	}
	fields[name] = list
}
