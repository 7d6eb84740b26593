package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Checker is implemented by values with constraints that span several fields.
// Paths are those of the file, such as pools[0].engines[1].name.
type Checker interface {
	Check(report func(path, problem, remedy string))
}

// Decode decodes data into out, a pointer to a struct with yaml and validate
// tags. If the file is invalid, the error is of type Diagnostics.
func Decode(file string, data []byte, out any) error {
	walk, err := checkStructure(file, data, out)
	if err != nil {
		return err
	}
	valid := len(walk.diagnostics) == 0
	// Violations of validate tags are reported together with structural ones.
	// References are checked only if the structure is valid.
	walk.checkConstraints(out)
	if valid {
		walk.checkReferences(out)
	}
	if len(walk.diagnostics) > 0 {
		return walk.sorted()
	}
	return nil
}

// DecodePartial decodes a file whose values may still be overridden. It checks
// keys and types, but not validate tags and references.
func DecodePartial(file string, data []byte, out any) error {
	walk, err := checkStructure(file, data, out)
	if err != nil {
		return err
	}
	if len(walk.diagnostics) > 0 {
		return walk.sorted()
	}
	return nil
}

// checkStructure checks keys and types and decodes the data into out.
func checkStructure(file string, data []byte, out any) (*walker, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Diagnostics{syntaxDiagnostic(file, err)}
	}
	walk := &walker{file: file, lines: map[string]int{}}
	if len(tree.Docs) > 0 && tree.Docs[0].Body != nil {
		walk.checkNode("", tree.Docs[0].Body, reflect.TypeOf(out).Elem())
	}
	if err := yaml.Unmarshal(data, out); err != nil && len(walk.diagnostics) == 0 {
		return nil, Diagnostics{syntaxDiagnostic(file, err)}
	}
	return walk, nil
}

// Validate checks the validate tags and references of a value that was not read
// from a YAML file, such as one decoded from JSON.
func Validate(name string, value any) error {
	walk := &walker{file: name, lines: map[string]int{}}
	walk.checkConstraints(value)
	walk.checkReferences(value)
	if len(walk.diagnostics) > 0 {
		return walk.sorted()
	}
	return nil
}

func syntaxDiagnostic(file string, err error) Diagnostic {
	line := 0
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		line = yamlErr.GetToken().Position.Line
	}
	problem := strings.SplitN(yaml.FormatError(err, false, false), "\n", 2)[0]
	return Diagnostic{File: file, Line: line, Field: "(file)", Problem: problem, Remedy: "write valid YAML"}
}

// walker checks a syntax tree against a Go type and collects diagnostics. Its
// lines map the path of each value to its line in the file.
type walker struct {
	file        string
	lines       map[string]int
	diagnostics Diagnostics
}

func (walk *walker) report(path, problem, remedy string) {
	walk.diagnostics = append(walk.diagnostics, Diagnostic{File: walk.file, Line: walk.lineOf(path), Field: path, Problem: problem, Remedy: remedy})
}

// lineOf returns the line of the path, or of the nearest enclosing value.
func (walk *walker) lineOf(path string) int {
	for path != "" {
		if line, found := walk.lines[path]; found {
			return line
		}
		separator := strings.LastIndexAny(path, ".[")
		if separator < 0 {
			break
		}
		path = path[:separator]
	}
	return 1
}

func (walk *walker) sorted() Diagnostics {
	sort.SliceStable(walk.diagnostics, func(i, j int) bool { return walk.diagnostics[i].Line < walk.diagnostics[j].Line })
	return walk.diagnostics
}

func (walk *walker) checkNode(path string, node ast.Node, goType reflect.Type) {
	if _, found := walk.lines[path]; !found {
		walk.lines[path] = node.GetToken().Position.Line
	}
	for goType.Kind() == reflect.Pointer {
		goType = goType.Elem()
	}
	switch {
	case node.Type() == ast.NullType:
	case goType.Kind() == reflect.Struct && !hasCustomDecoder(goType):
		walk.checkMapping(path, node, goType)
	case goType.Kind() == reflect.Slice:
		walk.checkSequence(path, node, goType)
	default:
		walk.checkScalar(path, node, goType)
	}
}

func hasCustomDecoder(goType reflect.Type) bool {
	return reflect.PointerTo(goType).Implements(reflect.TypeFor[yaml.BytesUnmarshaler]())
}

func (walk *walker) checkMapping(path string, node ast.Node, goType reflect.Type) {
	entries, ok := node.(ast.MapNode)
	if !ok {
		walk.report(path, "is not a mapping", "write it as key: value lines")
		return
	}
	fields := map[string]reflect.Type{}
	names := []string{}
	for index := range goType.NumField() {
		name := fieldName(goType.Field(index))
		if name != "" {
			fields[name] = goType.Field(index).Type
			names = append(names, name)
		}
	}
	seen := map[string]bool{}
	for iterator := entries.MapRange(); iterator.Next(); {
		key := iterator.Key().GetToken().Value
		child := strings.TrimPrefix(path+"."+key, ".")
		walk.lines[child] = iterator.Key().GetToken().Position.Line
		field, known := fields[key]
		switch {
		case !known:
			walk.report(child, "unknown key", "use one of: "+strings.Join(names, ", "))
		case seen[key]:
			walk.report(child, "duplicate key", "remove one of them")
		default:
			seen[key] = true
			walk.checkNode(child, iterator.Value(), field)
		}
	}
}

func (walk *walker) checkSequence(path string, node ast.Node, goType reflect.Type) {
	items, ok := node.(*ast.SequenceNode)
	if !ok {
		walk.report(path, "is not a list", "write it as a list of - items")
		return
	}
	for index, item := range items.Values {
		walk.checkNode(fmt.Sprintf("%s[%d]", path, index), item, goType.Elem())
	}
}

func (walk *walker) checkScalar(path string, node ast.Node, goType reflect.Type) {
	value := reflect.New(goType)
	if err := yaml.NodeToValue(node, value.Interface()); err != nil {
		walk.report(path, fmt.Sprintf("%q is not a %s", node.GetToken().Value, typeName(goType)), "write "+typeExample(goType))
	}
}

func typeName(goType reflect.Type) string {
	switch goType.Kind() {
	case reflect.Bool:
		return "boolean"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		if goType.Name() == "Duration" {
			return "duration"
		}
		return "whole number"
	case reflect.Float64:
		return "number"
	default:
		return "text value"
	}
}

func typeExample(goType reflect.Type) string {
	switch typeName(goType) {
	case "boolean":
		return "true or false"
	case "duration":
		return "a duration such as 250ms, 2s or 10m"
	case "whole number":
		return "a whole number such as 10"
	case "number":
		return "a number such as 1.5"
	default:
		return "text, in quotes where it could be read as something else"
	}
}

func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(fieldName)
	return validate
}

func (walk *walker) checkConstraints(value any) {
	err := newValidator().Struct(value)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return
	}
	for _, failure := range failures {
		_, path, _ := strings.Cut(failure.Namespace(), ".")
		problem, remedy := describe(failure)
		walk.report(path, problem, remedy)
	}
}

func (walk *walker) checkReferences(value any) {
	if checker, ok := value.(Checker); ok {
		checker.Check(walk.report)
	}
}

func describe(failure validator.FieldError) (problem, remedy string) {
	switch failure.Tag() {
	case "required":
		return "is missing", "add it"
	case "min", "gte":
		return fmt.Sprintf("%v is too small", failure.Value()), "use at least " + failure.Param()
	case "max", "lte":
		return fmt.Sprintf("%v is too large", failure.Value()), "use at most " + failure.Param()
	case "gt":
		return fmt.Sprintf("%v is too small", failure.Value()), "use more than " + failure.Param()
	case "hostname_port", "ip|hostname_port", "tcp_addr":
		return fmt.Sprintf("%q is not an address", failure.Value()), "write an IP number and a port, such as 127.0.0.1:8080"
	case "len":
		return "has the wrong length", "use exactly " + failure.Param() + " characters"
	case "hexadecimal":
		return "is not hexadecimal", "use digits 0-9 and a-f"
	case "oneof":
		return fmt.Sprintf("%q is not an accepted value", failure.Value()), "use one of: " + failure.Param()
	case "unique":
		return "has entries with the same " + strings.ToLower(failure.Param()), "make them unique"
	default:
		return "fails the check " + failure.Tag() + " " + failure.Param(), "see the configuration reference"
	}
}
