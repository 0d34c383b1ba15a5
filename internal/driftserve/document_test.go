package driftserve

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReasonsDocumented asserts that docs/CALLERS.md explains every reason
// that the code declares.
func TestReasonsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	require.NoError(t, err)
	reasons := append(
		constantsWithPrefix(t, "../driftshard/request.go", "Reason"), constantsWithPrefix(t, "query.go", "reason")...,
	)
	require.Greater(t, len(reasons), 20)
	for _, reason := range reasons {
		assert.Contains(t, string(page), "| `"+reason+"` |")
	}
}

// constantsWithPrefix returns the values of the string constants of a file
// whose names begin with the prefix.
func constantsWithPrefix(t *testing.T, path, prefix string) (values []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, prefix) || len(spec.Values) == 0 {
			return true
		}
		if literal, ok := spec.Values[0].(*ast.BasicLit); ok {
			value, err := strconv.Unquote(literal.Value)
			require.NoError(t, err)
			values = append(values, value)
		}
		return true
	})
	return values
}
