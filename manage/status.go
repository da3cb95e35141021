package manage

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/relay"
	"github.com/endivechute/endivechute/store"
)

const (
	// StatusTimeout is the timeout for reading the state of one instance.
	StatusTimeout = 3 * time.Second
	// dumpBytesMax is the most that is read of the dump of one instance.
	dumpBytesMax = 64 << 20
)

// instanceState is the state of one instance, decoded from its dump, or the error
// from reading it.
type instanceState struct {
	address string
	err     error

	Instance place.Instance `json:"instance"`
	Zone     place.Zone     `json:"zone"`
	Settings *relay.Dump    `json:"settings"`
}

// Status prints which versions of each object are in force in how many instances,
// when the store last confirmed the settings of each instance, and which objects
// were refused. addresses are the operators' ports of the instances, as IP:port,
// whose dumps hold a relay.Dump under the name "settings". It returns an error if
// an instance can't be read or is behind. It implements `status
// --operator-addresses IP:port,IP:port,...`.
func (o *Operator) Status(ctx context.Context, addresses []string) error {
	states := iter.Map(addresses, func(address *string) instanceState { return readState(ctx, *address) })
	newest := map[string]store.Object{}
	listing, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	objects, _, storeErr := o.store.List(listing, "")
	for _, object := range objects {
		if _, err := config.KindOf(object.Path()); err == nil {
			newest[object.Path()] = object
		}
	}
	out := tabwriter.NewWriter(o.out, 0, 0, tabPadding, ' ', 0)
	if storeErr != nil {
		_, _ = fmt.Fprintf(out, "The store can't be read: %v\nThe newest versions shown are the highest that the instances report.\n", storeErr)
		newest = newestKnown(states)
	}
	behind := printInstances(out, states, newest)
	printObjects(out, states, newest)
	if err := out.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	if behind > 0 {
		return errors.Newf("%d of %d instances can't be read or are behind", behind, len(states))
	}
	return nil
}

func readState(ctx context.Context, address string) instanceState {
	state := instanceState{address: address}
	ctx, cancel := context.WithTimeout(ctx, StatusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", http.NoBody)
	if err != nil {
		state.err = err
		return state
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		state.err = err
		return state
	}
	defer func() { _ = response.Body.Close() }()
	state.err = json.NewDecoder(io.LimitReader(response.Body, dumpBytesMax)).Decode(&state)
	if state.err == nil && state.Settings == nil {
		state.err = errors.New("the dump has no field \"settings\"")
	}
	return state
}

func newestKnown(states []instanceState) map[string]store.Object {
	newest := map[string]store.Object{}
	for _, s := range states {
		if s.err != nil {
			continue
		}
		for _, object := range s.Settings.Objects {
			version := max(object.Version, object.RefusedVersion)
			if version > newest[object.Path].Version() {
				newest[object.Path] = store.NewObject(object.Path, version, nil, object.Deleted)
			}
		}
	}
	return newest
}

// printInstances prints a line for each instance and returns the number of
// instances that can't be read or don't have the newest version of an object.
func printInstances(out *tabwriter.Writer, states []instanceState, newest map[string]store.Object) int {
	behind := 0
	_, _ = fmt.Fprintf(out, "INSTANCE\tZONE\tREADY\tRELAY\tNEWEST VERSION\tCONFIRMED\tLACKS\n")
	for _, s := range states {
		if s.err != nil {
			behind++
			_, _ = fmt.Fprintf(out, "%s\tcan't be read: %v\n", s.address, s.err)
			continue
		}
		lacks := outdatedPaths(s, newest)
		if len(lacks) > 0 {
			behind++
		}
		_, _ = fmt.Fprintf(out, "%s\t%s\t%t\t%t\t%d\t%s\t%s\n", s.Instance, s.Zone, s.Settings.Ready, s.Settings.Relay,
			s.Settings.Highest, formatAge(s.Settings.ConfirmedAgeMillis), strings.Join(lacks, " "))
	}
	return behind
}

func outdatedPaths(s instanceState, newest map[string]store.Object) []string {
	held := map[string]uint64{}
	for _, object := range s.Settings.Objects {
		held[object.Path] = max(object.Version, object.RefusedVersion)
	}
	var lacks []string
	for _, path := range sortedKeys(newest) {
		if held[path] < newest[path].Version() {
			lacks = append(lacks, path)
		}
	}
	return lacks
}

// formatAge formats the time since the store last confirmed the settings of an
// instance; a negative age means never.
func formatAge(millis int64) string {
	if millis < 0 {
		return "never"
	}
	return (time.Duration(millis) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

// printObjects prints, for each object, how many instances use which version, and
// an instance that refused one.
func printObjects(out *tabwriter.Writer, states []instanceState, newest map[string]store.Object) {
	_, _ = fmt.Fprintf(out, "\nOBJECT\tNEWEST VERSION\tIN FORCE\n")
	for _, path := range sortedKeys(newest) {
		inForce := map[uint64]int{}
		problem := ""
		for _, s := range states {
			if s.err != nil {
				continue
			}
			object := objectIn(s, path)
			inForce[object.Version]++
			if object.Problem != "" {
				problem = fmt.Sprintf("refused by %s: %s", s.Instance, object.Problem)
			}
		}
		_, _ = fmt.Fprintf(out, "%s\t%d\t%s\n", path, newest[path].Version(), formatVersions(inForce))
		if problem != "" {
			_, _ = fmt.Fprintf(out, "%s\n", problem)
		}
	}
}

func objectIn(s instanceState, path string) relay.DumpObject {
	for _, object := range s.Settings.Objects {
		if object.Path == path {
			return object
		}
	}
	return relay.DumpObject{Path: path}
}

func formatVersions(inForce map[uint64]int) string {
	parts := make([]string, 0, len(inForce))
	for _, version := range sortedKeys(inForce) {
		name := fmt.Sprintf("version %d", version)
		if version == 0 {
			name = "none"
		}
		parts = append(parts, fmt.Sprintf("%s in %d", name, inForce[version]))
	}
	return strings.Join(parts, ", ")
}
