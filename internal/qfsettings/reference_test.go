package qfsettings_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/internal/qfsettings"
)

var update = flag.Bool("update", false, "rewrite docs/operators/settings.md")

const referencePage = "../../docs/operators/settings.md"

// TestReferencePage fails if the page differs from the structs, so that a setting can't be
// added without a row on the page.
func TestReferencePage(t *testing.T) {
	want := renderReference(t)
	if *update {
		if err := os.WriteFile(referencePage, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(referencePage)
	if err != nil || string(got) != want {
		t.Errorf("the page differs from the structs (%v); run: go test ./internal/qfsettings -run TestReferencePage -update", err)
	}
}

func renderReference(t *testing.T) string {
	comments := structComments(t)
	var b strings.Builder
	b.WriteString("# Settings of a node\n\n" +
		"A node reads one TOML file. `quetzalfront settings check FILE` explains every fault in it with file,\n" +
		"line, key and what was expected. Durations carry a unit, such as `250ms`; addresses are an IP and a port.\n" +
		"This page is generated from the structs: `go test ./internal/qfsettings -run TestReferencePage -update`.\n")
	defaults := reflect.ValueOf(*qfsettings.Default())
	for i := range defaults.NumField() {
		table := defaults.Type().Field(i)
		typeName := table.Type.Name()
		fmt.Fprintf(&b, "\n## [%s]\n\n%s\n\n", table.Name, strings.Replace(comments[typeName], typeName, "These settings", 1))
		b.WriteString("| Key | Type | Default | Allowed | Meaning |\n|---|---|---|---|---|\n")
		for j := range table.Type.NumField() {
			field := table.Type.Field(j)
			comment := comments[typeName+"."+field.Name]
			if comment == "" {
				t.Errorf("%s.%s has no comment", table.Name, field.Name)
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", field.Name, typeText(field.Type),
				defaultText(defaults.Field(i).Field(j)), allowedText(field.Tag.Get("validate")), comment)
		}
	}
	return b.String()
}

func typeText(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[qfdocument.Duration]():
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of " + typeText(t.Elem())
	case t.Kind() == reflect.Struct:
		return "address"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "true or false"
	default:
		return "number"
	}
}

func defaultText(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case qfdocument.Duration:
		return "`" + value.Value().String() + "`"
	case string:
		if value != "" {
			return "`" + value + "`"
		}
	case bool, int, int64, float64:
		return fmt.Sprintf("`%v`", value)
	}
	return "none"
}

func allowedText(tag string) string {
	name, value, _ := strings.Cut(tag, "=")
	switch name {
	case "required":
		return "must be set"
	case "gt":
		return "more than " + value
	case "min", "gte":
		return "at least " + value
	case "oneof":
		return strings.ReplaceAll(value, " ", ", ")
	case "":
		return "any"
	default:
		return strings.ReplaceAll(tag, ",", ", ")
	}
}

// structComments returns the comments of the settings' structs and fields. A field without
// a comment has that of the field before it.
func structComments(t *testing.T) map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	comments := map[string]string{}
	for _, declaration := range file.Decls {
		types, ok := declaration.(*ast.GenDecl)
		if !ok || types.Tok != token.TYPE {
			continue
		}
		spec := types.Specs[0].(*ast.TypeSpec)
		comments[spec.Name.Name] = oneLine(types.Doc)
		structure, ok := spec.Type.(*ast.StructType)
		if !ok {
			continue
		}
		last := ""
		for _, field := range structure.Fields.List {
			if field.Doc != nil {
				last = oneLine(field.Doc)
			}
			for _, name := range field.Names {
				comments[spec.Name.Name+"."+name.Name] = last
			}
		}
	}
	return comments
}

func oneLine(group *ast.CommentGroup) string { return strings.Join(strings.Fields(group.Text()), " ") }
