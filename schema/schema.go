// Package schema decodes and encodes declarations.
//
// The JSON Schemas in this folder define the documents; schema/declared holds the Go
// types generated from the one of declarations, which this package converts to core/fleet.
// Errors carry the position in the document.
package schema

import (
	_ "embed" // the schemas are part of the binary
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed declaration.schema.json
var declarationSchema string

//go:embed settings.schema.json
var settingsSchema string

// SettingsJSON returns the JSON Schema of the settings of a node.
func SettingsJSON() string { return settingsSchema }

// DeclarationJSON returns the JSON Schema of declarations.
func DeclarationJSON() string { return declarationSchema }

var (
	compiledDeclaration = sync.OnceValues(func() (*jsonschema.Schema, error) { return compile("declaration", declarationSchema) })
	compiledSettings    = sync.OnceValues(func() (*jsonschema.Schema, error) { return compile("settings", settingsSchema) })
	printer             = message.NewPrinter(language.English)
)

func compile(name, text string) (*jsonschema.Schema, error) {
	v, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("schema %s: %w", name, err)
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	if err := c.AddResource(name, v); err != nil {
		return nil, fmt.Errorf("schema %s: %w", name, err)
	}
	return c.Compile(name)
}

// Problem is one error in a document. Line and Column count from 1, and are 0 if the
// position is not known. Path has a form such as "servers[3].pool".
type Problem struct {
	File         string
	Line, Column int
	Path         string
	Cause        string
}

func (f Problem) String() string {
	s := f.File
	if f.Line > 0 {
		s += fmt.Sprintf(":%d:%d", f.Line, f.Column)
	}
	if f.Path != "" {
		s += ": " + f.Path
	}
	return s + ": " + f.Cause
}

// Error lists all problems of a document, in the order of their positions.
type Error struct {
	Problems []Problem
}

func (e *Error) Error() string {
	l := make([]string, len(e.Problems))
	for i, f := range e.Problems {
		l[i] = f.String()
	}
	return strings.Join(l, "\n")
}

// CheckSettings checks v, a decoded JSON object, against the settings schema.
// Problem.Path starts with the name of the setting.
func CheckSettings(v map[string]any) ([]Problem, error) {
	s, err := compiledSettings()
	if err != nil {
		return nil, err
	}
	return validate(s, v), nil
}

func validate(s *jsonschema.Schema, v any) []Problem {
	var e *jsonschema.ValidationError
	if !errors.As(s.Validate(v), &e) {
		return nil
	}
	return leafProblems(e, nil)
}

// leafProblems appends a problem to l for each innermost error; the outer ones only group
// them.
func leafProblems(e *jsonschema.ValidationError, l []Problem) []Problem {
	for _, c := range e.Causes {
		l = leafProblems(c, l)
	}
	if len(e.Causes) == 0 {
		l = append(l, Problem{Path: pathOf(e.InstanceLocation), Cause: causeText(e.ErrorKind)})
	}
	return l
}

// causeText replaces messages of the schema library that would show a regular expression.
func causeText(k jsonschema.ErrorKind) string {
	switch k := k.(type) {
	case *kind.Pattern:
		if strings.Contains(k.Want, "ns|us|ms") {
			return fmt.Sprintf("%q is not a Go duration such as \"250ms\"", k.Got)
		}
		return fmt.Sprintf("%q may hold only letters, digits, dot, underscore and hyphen", k.Got)
	case *kind.ExclusiveMinimum:
		w, _ := k.Want.Float64()
		return fmt.Sprintf("must be above %v", w)
	}
	return k.LocalizedString(printer)
}

// pathOf turns the tokens of a JSON pointer into a path such as "servers[3].pool".
func pathOf(l []string) string {
	var b strings.Builder
	for _, t := range l {
		if _, err := strconv.Atoi(t); err == nil {
			b.WriteString("[" + t + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(t)
	}
	return b.String()
}

func jsonValue(b []byte) (any, error) {
	var v any
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.UseNumber()
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	return v, nil
}
