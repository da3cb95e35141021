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

// settingsFileEnd ends the names of the files that PolicyCheck reads.
const settingsFileEnd = ".json"

// PolicyGet prints the settings at a path and, after them, their version, author
// and last change ids as lines that begin with "# ". A command `policy get
// PATH`; PATH is such as fleet, teams/library or teams/library/search-desk.
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
		return errors.Newf("%s: there are no such settings; create them with `policy set` and --if-version 0", path)
	case found.problem != nil:
		return errors.Wrapf(found.problem, "%s version %d can't be read; replace it with `policy set` and --if-version %d", path, found.version, found.version)
	case found.envelope == nil:
		return errors.Newf("%s: the settings were deleted in version %d; create them with `policy set` and --if-version %d", path, found.version, found.version)
	}
	e := found.envelope
	return o.printf("%s# version %d by %s at %s\n# recent_changes %s\n", config.Indent(sorted(found.body)), found.version, e.Author(),
		e.WrittenAt().Format(time.RFC3339), strings.Join(e.RecentChanges(), " "))
}

// PolicySet replaces the settings at a path by body if their version is still
// ifVersion (0: there are none yet), and prints the report. A command `policy
// set PATH --file FILE --if-version N`. Lines of body that begin with "#" are
// passed over, so that what PolicyGet printed can be edited and given back.
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
		report.text = fmt.Sprintf("conflict: %s is at version %d by %s, not at %d; nothing was written. It differs from what was given in:\n%sread it with `endivechute policy get --path %s`, then try again with --if-version %d\n",
			path, found.version, found.author(), ifVersion, config.Diff(sorted(withoutNotes(body)), sorted(found.body)), path, found.version)
		return o.tell(report)
	}
	report, err := o.change(ctx, found, withoutNotes(body))
	if err != nil {
		return report, err
	}
	return o.tell(report)
}

// Assignment sets one field of the settings, or removes it if the text is
// empty. The field is a path such as slots or regions.kigali.slots; the text
// is JSON.
type Assignment struct {
	field string
	text  string
}

// ParseAssignment reads "field=JSON"; "field=" removes the field.
func ParseAssignment(text string) (Assignment, error) {
	field, value, found := strings.Cut(text, "=")
	if !found || field == "" {
		return Assignment{}, errors.Newf("%q is given; want field=value, such as regions.kigali.slots=4, or field= to remove it", text)
	}
	if value != "" && !json.Valid([]byte(value)) {
		return Assignment{}, errors.Newf(`%s: %q is no JSON; want such as 4, "text" or ["a"]`, field, value)
	}
	return Assignment{field: field, text: value}, nil
}

// PolicyEdit changes single fields of the settings at a path and prints the
// report. It reads and writes in one go; whoever writes in between makes it a
// conflict. A command `policy edit PATH FIELD=VALUE...`. It opens no editor:
// the programs start no others.
func (o *Operator) PolicyEdit(ctx context.Context, path string, assignments []Assignment) (Report, error) {
	report, err := o.edit(ctx, path, func(fields map[string]any) error {
		for _, a := range assignments {
			if err := assign(fields, a); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return report, err
	}
	return o.tell(report)
}

// edit reads the settings, lets change alter the decoded object and writes it.
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
	return fields, errors.Wrap(err, "the settings are no JSON object")
}

func assign(fields map[string]any, a Assignment) error {
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
			return errors.Newf("%s: %s holds no fields", a.field, name)
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

// PolicyCheck checks the settings in the files of a folder, of which each has
// the path of its object and ends in .json: teams/library/search-desk.json. It
// prints a line for each file and returns an error if any was refused. A
// command `policy check FOLDER`; pass os.DirFS(folder).
func (o *Operator) PolicyCheck(folder fs.FS) error {
	bodies, err := readFolder(folder)
	if err != nil {
		return err
	}
	if len(bodies) == 0 {
		return errors.Newf("there are no settings: want files such as teams/library/search-desk%s", settingsFileEnd)
	}
	bad := 0
	for _, objectPath := range sortedKeys(bodies) {
		err := config.CheckBody(objectPath, bodies[objectPath])
		if err == nil {
			err = checkTogether(bodies, objectPath)
		}
		line := "ok " + objectPath
		if err != nil {
			bad++
			line = fmt.Sprintf("refused %v", err)
		}
		if err := o.printf("%s\n", line); err != nil {
			return err
		}
	}
	if bad > 0 {
		return errors.Newf("%d of %d objects are refused", bad, len(bodies))
	}
	return nil
}

func readFolder(folder fs.FS) (map[string][]byte, error) {
	bodies := map[string][]byte{}
	err := fs.WalkDir(folder, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Ext(name) != settingsFileEnd {
			return err
		}
		text, err := fs.ReadFile(folder, name)
		bodies[strings.TrimSuffix(name, settingsFileEnd)] = text
		return errors.Wrap(err, name)
	})
	return bodies, errors.Wrap(err, "read the settings")
}

// checkTogether checks one of several objects against what it inherits from
// the others.
func checkTogether(bodies map[string][]byte, objectPath string) error {
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
	return tables.Excess(service)
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// withoutNotes removes the lines that PolicyGet adds.
func withoutNotes(body []byte) []byte {
	var kept []string
	for line := range strings.Lines(string(body)) {
		if !strings.HasPrefix(line, "#") {
			kept = append(kept, line)
		}
	}
	return []byte(strings.Join(kept, ""))
}

// tell prints a report and returns it.
func (o *Operator) tell(report Report) (Report, error) {
	return report, o.printf("%s", report.text)
}

func (o *Operator) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(o.out, format, args...)
	return errors.Wrap(err, "print")
}
