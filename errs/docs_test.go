package errs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"
)

// TestOperatorsPageNamesEveryReason checks that the table of refusals in
// docs/OPERATORS.md lists exactly the reasons in the code.
func TestOperatorsPageNamesEveryReason(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "## What each refusal means")
	section, _, _ = strings.Cut(section, "\n## ")
	described := map[string]bool{}
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) == 5 && strings.HasPrefix(cells[1], " `") {
			described[strings.Trim(cells[1], " `")] = len(strings.TrimSpace(cells[2])) > 0 && len(strings.TrimSpace(cells[3])) > 0
		}
	}
	reasons := reasonsInCode(t)
	for _, reason := range reasons {
		if !described[reason] {
			t.Errorf("docs/OPERATORS.md does not say what the reason %q means and what to do", reason)
		}
		delete(described, reason)
	}
	if len(reasons) == 0 || len(described) > 0 {
		t.Errorf("%d reasons are in the code; described and not in the code: %v", len(reasons), described)
	}
}

func reasonsInCode(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "verdict.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var reasons []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		kind, named := spec.Type.(*ast.Ident)
		literal, isLiteral := spec.Values[0].(*ast.BasicLit)
		if named && isLiteral && kind.Name == "Reason" {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				reasons = append(reasons, text)
			}
		}
		return true
	})
	return reasons
}
