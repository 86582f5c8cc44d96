package result

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// declaredCodes returns the names of all constants of type Code, by number.
func declaredCodes(t *testing.T) map[Code]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "result.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[Code]string)
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := v.Type.(*ast.Ident); !ok || kind.Name != "Code" {
			return true
		}
		number, err := strconv.ParseUint(v.Values[0].(*ast.BasicLit).Value, 10, 32)
		if err != nil {
			t.Fatal(err)
		}
		if other, ok := names[Code(number)]; ok {
			t.Errorf("%s and %s both have number %d", other, v.Names[0].Name, number)
		}
		names[Code(number)] = v.Names[0].Name
		return true
	})
	return names
}

// Guards against a code that callers see without a description, or with the description of another
// code.
func TestEveryCodeIsDescribed(t *testing.T) {
	names := declaredCodes(t)
	for code, name := range names {
		info, ok := Lookup(code)
		if !ok || info.Name != name || info.Meaning == "" || len(info.Effects) == 0 || info.Retry == "" {
			t.Errorf("%s (%d) is described as %+v", name, code, info)
		}
	}
	if len(Codes()) != len(names) {
		t.Errorf("%d descriptions for %d codes", len(Codes()), len(names))
	}
}

// Guards against code that sends an effect that the catalogue does not list for the result code. Only
// composite literals that set both fields to constants are checked.
func TestSentEffectsAreInCatalogue(t *testing.T) {
	found := 0
	for _, dir := range []string{"..", "../../daemon"} {
		err := filepath.WalkDir(dir, func(name string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(f, func(n ast.Node) bool {
				code, effect := failureFields(n)
				if code == "" || effect == "" {
					return true
				}
				found++
				if !allows(code, effect) {
					t.Errorf("%s: %s is sent with effect %s", name, code, effect)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if found == 0 {
		t.Error("found no composite literal with Code and Effect; the search does not work")
	}
}

// failureFields returns the names of the constants assigned to the fields Code and Effect of a
// composite literal.
func failureFields(n ast.Node) (code, effect string) {
	literal, ok := n.(*ast.CompositeLit)
	if !ok {
		return "", ""
	}
	for _, e := range literal.Elts {
		pair, ok := e.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		key, isName := pair.Key.(*ast.Ident)
		value, isSelector := pair.Value.(*ast.SelectorExpr)
		switch {
		case !isName || !isSelector:
		case key.Name == "Code":
			code = value.Sel.Name
		case key.Name == "Effect":
			effect = value.Sel.Name
		}
	}
	return code, effect
}

// allows reports whether the catalogue lists the effect for the code, both given by the names of
// their constants.
func allows(code, effect string) bool {
	effects := map[string]Effect{"NotRun": NotRun, "Run": Run, "Unknown": Unknown}
	for _, c := range Codes() {
		if i, _ := Lookup(c); i.Name == code {
			return slices.Contains(i.Effects, effects[effect])
		}
	}
	return false
}

var tableRow = regexp.MustCompile(`(?m)^\| \d{4} \|.*$`)

// Guards against a docs/codes.md that lacks a code, keeps a removed one, or differs from the code
// in what it promises to callers.
func TestDocumentMatchesCatalogue(t *testing.T) {
	doc, err := os.ReadFile("../../docs/codes.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, c := range Codes() {
		i, _ := Lookup(c)
		var effects []string
		for _, e := range i.Effects {
			effects = append(effects, e.String())
		}
		want = append(want, fmt.Sprintf("| %d | %s | %s | %s | %s |", c, i.Name, strings.Join(effects, ", "), i.Retry, i.Meaning))
	}
	if got := tableRow.FindAllString(string(doc), -1); strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("docs/codes.md must have these rows:\n%s", strings.Join(want, "\n"))
	}
}
