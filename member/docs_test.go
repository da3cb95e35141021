package member_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestCapacityPageNamesWhatExists guards against a docs/CAPACITY.md that lags behind
// the code: each `package.Name` in it has to be a benchmark that scripts/slopes runs,
// or an identifier in the package.
func TestCapacityPageNamesWhatExists(t *testing.T) {
	page, err := os.ReadFile("../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	script, err := os.ReadFile("../scripts/slopes")
	if err != nil {
		t.Fatal(err)
	}
	names := regexp.MustCompile("`([a-z]+)\\.([A-Z][A-Za-z]+)`").FindAllStringSubmatch(string(page), -1)
	benchmarks := 0
	for _, name := range names {
		code, tests := sources(t, name[1])
		switch {
		case strings.Contains(tests, "func Benchmark"+name[2]+"("):
			benchmarks++
			if !strings.Contains(string(script), "./"+name[1]+"|") {
				t.Errorf("scripts/slopes does not run %s.%s", name[1], name[2])
			}
		case regexp.MustCompile(`\b` + name[2] + `\b`).MatchString(code):
		default:
			t.Errorf("docs/CAPACITY.md names %s.%s, which does not exist", name[1], name[2])
		}
	}
	if benchmarks < 15 {
		t.Errorf("docs/CAPACITY.md names %d benchmarks, want at least 15", benchmarks)
	}
}

// sources returns the text of a package's Go files, without and with tests apart.
func sources(t *testing.T, name string) (code, tests string) {
	t.Helper()
	files, err := filepath.Glob("../" + name + "/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasSuffix(file, "_test.go") {
			tests += string(text)
		} else {
			code += string(text)
		}
	}
	return code, tests
}
