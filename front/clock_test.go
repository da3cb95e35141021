package front_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestNoWallClock checks that the packages that serve on the users' platform don't
// read the time of day, which may jump by seconds. Differences of times use the
// monotonic clock. The time of day only numbers the processes of an instance.
func TestNoWallClock(t *testing.T) {
	wallClock := []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro", "UTC", "Local", "Equal"}
	allowed := map[string]int{"front/server.go UnixNano": 1}
	found := map[string]int{}
	for _, folder := range []string{"feed", "fleet", "front", "hold", "logs", "pace", "peers", "pick", "platform", "route", "sender", "socket", "wire"} {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("package %s has no files, error %v", folder, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(tree, func(n ast.Node) bool {
				call, isCall := n.(*ast.CallExpr)
				if !isCall {
					return true
				}
				selector, isSelector := call.Fun.(*ast.SelectorExpr)
				if isSelector && slices.Contains(wallClock, selector.Sel.Name) {
					found[folder+"/"+filepath.Base(file)+" "+selector.Sel.Name]++
				}
				return true
			})
		}
	}
	for use, n := range found {
		if n != allowed[use] {
			t.Errorf("%s is called %d times, want %d", use, n, allowed[use])
		}
	}
}
