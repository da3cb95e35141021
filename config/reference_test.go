package config_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/endivechute/endivechute/config"
)

// TestReferenceMatchesTheCode checks that the tables in docs/SETTINGS.md have a
// row for each field, with its range and default, and no other rows, and that
// the example there passes CheckBody.
func TestReferenceMatchesTheCode(t *testing.T) {
	text, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, tables, _ := strings.Cut(string(text), "## Numeric settings")
	tables, _, _ = strings.Cut(tables, "## What is checked")
	documented := map[string]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|(.*)$").FindAllStringSubmatch(tables, -1) {
		documented[row[1]] += row[2]
	}
	want, got := map[string]bool{}, map[string]bool{}
	for name := range documented {
		got[name] = true
	}
	for _, info := range config.Reference() {
		want[info.Name()] = true
		row := documented[info.Name()]
		if !strings.Contains(row, info.Allowed()) {
			t.Errorf("%s: the row %q lacks the range %q", info.Name(), row, info.Allowed())
		}
		if info.Default() != "" && !strings.Contains(row, "| "+info.Default()+" | "+map[bool]string{true: "yes", false: "no"}[info.ByTarget()]+" |") {
			t.Errorf("%s: the row %q lacks the default %s or whether it can be given for a target (%v)", info.Name(), row, info.Default(), info.ByTarget())
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("fields of the code (-) and of the reference (+):\n%s", diff)
	}
	_, example, _ := strings.Cut(string(text), "```json\n")
	example, _, _ = strings.Cut(example, "```")
	if err := config.CheckBody("teams/library/loan-ledger", []byte(example)); err != nil {
		t.Errorf("the example is refused: %v", err)
	}
}

// TestReferenceNamesAreReal checks that the parser accepts the fields of
// Reference and no others. It reads the accepted names from the error for an
// unknown field at each level.
func TestReferenceNamesAreReal(t *testing.T) {
	parsed, documented := map[string]bool{}, map[string]bool{}
	for path, forms := range map[string][]string{
		"fleet":     {`{"X":0}`, `{"regions":{"a":{"X":0}}}`, `{"links":[{"X":0}]}`},
		"teams/a":   {`{"X":0}`, `{"regions":{"a":{"X":0}}}`},
		"teams/a/b": {`{"X":0}`, `{"targets":{"a":{"X":0}}}`, `{"non_idempotent":[{"X":0}]}`, `{"refused_before_run":[{"X":0}]}`, `{"diversions":[{"X":0}]}`},
	} {
		for _, form := range forms {
			err := config.CheckBody(path, []byte(form))
			if err == nil {
				t.Fatalf("%s is accepted at %s", form, path)
			}
			_, names, _ := strings.Cut(err.Error(), "allowed here: ")
			names, _, _ = strings.Cut(names, "\n")
			for name := range strings.SplitSeq(names, ", ") {
				parsed[name] = true
			}
		}
	}
	for _, info := range config.Reference() {
		documented[info.Name()] = true
	}
	if diff := cmp.Diff(parsed, documented); diff != "" {
		t.Errorf("fields of the parser (-) and of the reference (+):\n%s", diff)
	}
}
