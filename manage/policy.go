package manage

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"maps"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
)

// settingsFileExtension is the extension of the files that PolicyCheck reads.
const settingsFileExtension = ".json"

// PolicyGet prints the settings at a path, followed by their version, author and
// recent change ids in lines that begin with "# ". It implements `policy get
// --path PATH`, where PATH is, for example, fleet, teams/library or
// teams/library/search-desk.
func (o *Operator) PolicyGet(ctx context.Context, path string) error {
	if _, err := config.KindOf(path); err != nil {
		return err
	}
	found, err := o.read(ctx, path)
	if err != nil {
		return err
	}
	switch {
	case found.version == 0:
		return errors.Newf("%s: no settings exist at this path; create them with `policy set` and --if-version 0", path)
	case found.problem != nil:
		return errors.Wrapf(found.problem, "%s version %d can't be read; replace it with `policy set` and --if-version %d", path, found.version, found.version)
	case found.envelope == nil:
		return errors.Newf("%s: the settings were deleted in version %d; create them with `policy set` and --if-version %d", path, found.version, found.version)
	}
	e := found.envelope
	return o.printf("%s# version %d by %s at %s\n# recent_changes %s\n", config.Indent(canonicalOrRaw(found.body)), found.version, e.Author(),
		e.WrittenAt().Format(time.RFC3339), strings.Join(e.RecentChanges(), " "))
}

// PolicySet replaces the settings at a path by body if their version is ifVersion
// (0 if there are none), and prints the report. Lines of body that begin with "#"
// are ignored, so that the output of PolicyGet can be edited and used as input. It
// implements `policy set --path PATH --file FILE --if-version N`.
func (o *Operator) PolicySet(ctx context.Context, path string, body []byte, ifVersion uint64) (Report, error) {
	if err := o.checkSettings(path); err != nil {
		return Report{}, err
	}
	found, err := o.read(ctx, path)
	if err != nil {
		return Report{}, errors.Wrap(err, "nothing was written")
	}
	if found.version != ifVersion {
		report := Report{outcome: OutcomeConflict, path: path, version: found.version}
		report.text = fmt.Sprintf("conflict: %s is at version %d by %s, not at %d; nothing was written. Differences from the given settings:\n%sread them with `endivechute policy get --path %s`, then try again with --if-version %d\n",
			path, found.version, found.author(), ifVersion, config.Diff(canonicalOrRaw(withoutComments(body)), canonicalOrRaw(found.body)), path, found.version)
		return o.printReport(report)
	}
	report, err := o.change(ctx, found, withoutComments(body))
	if err != nil {
		return report, err
	}
	return o.printReport(report)
}

// Assignment sets one field of the settings to a JSON value, or removes it if the
// text is empty. The field is a dotted path such as slots or
// regions.kigali.slots.
type Assignment struct {
	field string
	text  string
}

// ParseAssignment parses "field=JSON", or "field=", which removes the field.
func ParseAssignment(text string) (Assignment, error) {
	field, value, found := strings.Cut(text, "=")
	if !found || field == "" {
		return Assignment{}, errors.Newf("invalid assignment %q; want field=value, such as regions.kigali.slots=4, or field= to remove it", text)
	}
	if value != "" && !json.Valid([]byte(value)) {
		return Assignment{}, errors.Newf(`%s: %q is invalid JSON; want a value such as 4, "text" or ["a"]`, field, value)
	}
	return Assignment{field: field, text: value}, nil
}

// PolicyEdit changes single fields of the settings at a path and prints the
// report. It reads the settings and writes them if their version is unchanged; a
// write in between is a conflict. It opens no editor, since the programs start no
// other processes. It implements `policy edit --path PATH FIELD=VALUE...`.
func (o *Operator) PolicyEdit(ctx context.Context, path string, assignments []Assignment) (Report, error) {
	report, err := o.edit(ctx, path, func(fields map[string]any) error {
		for _, a := range assignments {
			if err := setField(fields, a); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return report, err
	}
	return o.printReport(report)
}

// edit reads the settings, calls change to modify the decoded fields and writes
// the result. It does not print the report.
func (o *Operator) edit(ctx context.Context, path string, change func(map[string]any) error) (Report, error) {
	if err := o.checkSettings(path); err != nil {
		return Report{}, err
	}
	found, err := o.read(ctx, path)
	if err != nil {
		return Report{}, errors.Wrap(err, "nothing was written")
	}
	if found.problem != nil {
		return Report{}, errors.Wrapf(found.problem, "%s version %d can't be edited; replace it with `policy set`", path, found.version)
	}
	fields, err := decodeFields(found.body)
	if err != nil {
		return Report{}, err
	}
	if err := change(fields); err != nil {
		return Report{}, errors.Wrap(err, "nothing was written")
	}
	after, err := json.Marshal(fields)
	if err != nil {
		return Report{}, errors.Wrap(err, "encode the settings")
	}
	return o.change(ctx, found, after)
}

func decodeFields(body []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	fields := map[string]any{}
	err := decoder.Decode(&fields)
	return fields, errors.Wrap(err, "the settings are not a JSON object")
}

func setField(fields map[string]any, a Assignment) error {
	names := strings.Split(a.field, ".")
	last := len(names) - 1
	for _, name := range names[:last] {
		inner, found := fields[name]
		if !found {
			inner = map[string]any{}
			fields[name] = inner
		}
		next, isObject := inner.(map[string]any)
		if !isObject {
			return errors.Newf("%s: %s is not an object", a.field, name)
		}
		fields = next
	}
	if a.text == "" {
		delete(fields, names[last])
		return nil
	}
	decoder := json.NewDecoder(strings.NewReader(a.text))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return errors.Wrapf(err, "%s", a.field)
	}
	fields[names[last]] = value
	return nil
}

// PolicyCheck validates the settings in the .json files of a folder, which are
// named by the paths of the objects, for example teams/library/search-desk.json.
// It prints a line for each file and returns an error if any is invalid. It
// implements `policy check FOLDER`, with os.DirFS(FOLDER).
func (o *Operator) PolicyCheck(folder fs.FS) error {
	bodies, err := readFolder(folder)
	if err != nil {
		return err
	}
	if len(bodies) == 0 {
		return errors.Newf("no settings found; want files such as teams/library/search-desk%s", settingsFileExtension)
	}
	refusedCount := 0
	for _, objectPath := range sortedKeys(bodies) {
		err := config.CheckBody(objectPath, bodies[objectPath])
		if err == nil {
			err = checkInheritedFrom(bodies, objectPath)
		}
		line := "ok " + objectPath
		if err != nil {
			refusedCount++
			line = fmt.Sprintf("refused %v", err)
		}
		if err := o.printf("%s\n", line); err != nil {
			return err
		}
	}
	if refusedCount > 0 {
		return errors.Newf("%d of %d objects are refused", refusedCount, len(bodies))
	}
	return nil
}

func readFolder(folder fs.FS) (map[string][]byte, error) {
	bodies := map[string][]byte{}
	err := fs.WalkDir(folder, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Ext(name) != settingsFileExtension {
			return err
		}
		text, err := fs.ReadFile(folder, name)
		bodies[strings.TrimSuffix(name, settingsFileExtension)] = text
		return errors.Wrap(err, name)
	})
	return bodies, errors.Wrap(err, "read the settings")
}

// checkInheritedFrom checks a service's settings against the caps that they
// inherit from the other objects in bodies.
func checkInheritedFrom(bodies map[string][]byte, objectPath string) error {
	if kind, err := config.KindOf(objectPath); err != nil || kind != config.KindService {
		return err
	}
	service := place.Service(strings.TrimPrefix(objectPath, config.PrefixTeams))
	var objects []store.Object
	for _, name := range sortedKeys(bodies) {
		value, err := config.NewEnvelope(nil, "check", "check", time.Time{}, bodies[name]).Encode()
		if err != nil {
			return errors.Wrap(err, name)
		}
		objects = append(objects, store.NewObject(name, 1, value, false))
	}
	tables, _ := config.NewTables("", nil).Apply(objects, time.Time{})
	return tables.CheckCaps(service)
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// withoutComments removes the lines that begin with "#", which PolicyGet adds.
func withoutComments(body []byte) []byte {
	var kept []string
	for line := range strings.Lines(string(body)) {
		if !strings.HasPrefix(line, "#") {
			kept = append(kept, line)
		}
	}
	return []byte(strings.Join(kept, ""))
}

// printReport prints a report and returns it.
func (o *Operator) printReport(report Report) (Report, error) {
	return report, o.printf("%s", report.text)
}

func (o *Operator) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(o.out, format, args...)
	return errors.Wrap(err, "print")
}
