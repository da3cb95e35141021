package manage

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
)

// tabPadding is the number of spaces between the columns of printed tables.
const tabPadding = 2

// loadSettings reads all settings from the store.
func (o *Operator) loadSettings(ctx context.Context) (*config.Tables, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	objects, _, err := o.store.List(ctx, "")
	if err != nil {
		return nil, err
	}
	tables, _ := config.NewTables("", nil).Apply(objects, o.now())
	return tables, nil
}

// PolicyTree prints the settings in force, including inherited ones, and the
// origin of each value, for the services whose names begin with prefix ("" for
// all). It implements `policy tree [--service TEAM[/SERVICE]]`.
func (o *Operator) PolicyTree(ctx context.Context, prefix string) error {
	tables, err := o.loadSettings(ctx)
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(o.out, 0, 0, tabPadding, ' ', 0)
	found := false
	for _, service := range tables.Services() {
		if !strings.HasPrefix(string(service), prefix) {
			continue
		}
		found = true
		printService(out, tables, service)
	}
	for _, path := range tables.Paths(config.PrefixTeams + prefix) {
		if problem := tables.Problem(path); problem != nil {
			_, _ = fmt.Fprintf(out, "refused: version %d of %s:\n%v\n", tables.Version(path).Refused(), path, problem)
			found = true
		}
	}
	if !found && prefix == "" {
		return o.printf("No service has settings.\n")
	}
	if !found {
		return errors.Newf("no service has a name that begins with %q", prefix)
	}
	return errors.Wrap(out.Flush(), "print")
}

func printService(out *tabwriter.Writer, tables *config.Tables, service place.Service) {
	path := config.ServicePath(service)
	envelope := tables.Envelope(path)
	_, _ = fmt.Fprintf(out, "%s\tversion %d by %s at %s\n", service, tables.Version(path).InForce(), envelope.Author(), envelope.WrittenAt().Format(time.RFC3339))
	base, _ := tables.PolicyIn(service, "")
	for field := range config.FieldCount {
		printValue(out, "  ", base.Value(field))
	}
	for _, d := range base.Diversions() {
		_, _ = fmt.Fprintf(out, "  diversion\t%s to %s\t%g percent\n", d.From(), d.To(), d.Percent())
	}
	for _, name := range base.LeavingNames() {
		_, _ = fmt.Fprintf(out, "  leaving\t%s\n", name)
	}
	for _, region := range regionsOf(tables, base) {
		printRegion(out, tables, service, region, base)
	}
	if err := tables.CheckCaps(service); err != nil {
		_, _ = fmt.Fprintf(out, "  warning: %v\n", err)
	}
}

// printRegion prints the values that a region overrides.
func printRegion(out *tabwriter.Writer, tables *config.Tables, service place.Service, region place.Region, base *config.Policy) {
	policy, _ := tables.PolicyIn(service, region)
	headingPrinted := false
	for field := range config.FieldCount {
		if policy.Value(field).Origin() == base.Value(field).Origin() {
			continue
		}
		if !headingPrinted {
			_, _ = fmt.Fprintf(out, "  in %s\n", region)
			headingPrinted = true
		}
		printValue(out, "    ", policy.Value(field))
	}
}

func printValue(out *tabwriter.Writer, indent string, value config.Value) {
	_, _ = fmt.Fprintf(out, "%s%s\t%s\t%s\n", indent, value.Field(), strconv.FormatFloat(value.Number(), 'f', -1, 64), value.Origin())
}

func regionsOf(tables *config.Tables, base *config.Policy) []place.Region {
	regions := map[place.Region]bool{}
	for _, region := range append(tables.Fleet().Regions(), base.OverriddenRegions()...) {
		regions[region] = true
	}
	return slices.Sorted(maps.Keys(regions))
}
