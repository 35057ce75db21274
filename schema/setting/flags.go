package setting

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"bergamotspring/schema"
)

// property is one setting as the schema describes it.
type property struct {
	name        string
	Type        string `json:"type"`
	Default     any    `json:"default"`
	Description string `json:"description"`
	Unit        string `json:"x-unit"`
	Kind        string `json:"x-kind"`
	Secret      bool   `json:"x-secret"`
	required    bool
}

func (p *property) flag() string { return "--" + strings.ReplaceAll(p.name, "_", "-") }

func (p *property) env() string { return "BERGAMOTSPRING_" + strings.ToUpper(p.name) }

// label names the setting in errors.
func (p *property) label() string {
	if p.Secret {
		return p.env() + " or " + p.flag() + "-file"
	}
	return p.flag()
}

// Flags holds the text of all settings. Plugin lets kong fill it from flags and
// environment variables. Every value is taken as text, so that Node can report all
// errors at once instead of the first.
type Flags struct {
	// Getenv and ReadFile read secrets; nil: os.Getenv and os.ReadFile.
	Getenv   func(string) string
	ReadFile func(string) ([]byte, error)

	properties []property
	value      reflect.Value // struct with one field for each property without x-secret
}

// NewFlags reads the embedded schema.
func NewFlags() (*Flags, error) {
	l, err := properties()
	if err != nil {
		return nil, fmt.Errorf("settings schema: %w", err)
	}
	var fields []reflect.StructField
	for i := range l {
		if !l[i].Secret {
			fields = append(fields, l[i].field(l))
		}
	}
	return &Flags{properties: l, value: reflect.New(reflect.StructOf(fields)).Elem()}, nil
}

// Plugin returns the struct pointer to add to kong.Plugins.
func (f *Flags) Plugin() any { return f.value.Addr().Interface() }

// properties returns the settings in the order of the schema.
func properties() ([]property, error) {
	var s struct {
		Required   []string        `json:"required"`
		Properties json.RawMessage `json:"properties"`
	}
	if err := json.Unmarshal([]byte(schema.SettingsJSON()), &s); err != nil {
		return nil, err
	}
	required := map[string]bool{}
	for _, n := range s.Required {
		required[n] = true
	}
	d := json.NewDecoder(strings.NewReader(string(s.Properties)))
	if _, err := d.Token(); err != nil {
		return nil, err
	}
	var l []property
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, err
		}
		var p property
		if err := d.Decode(&p); err != nil {
			return nil, err
		}
		p.name, _ = t.(string)
		p.required = required[p.name]
		l = append(l, p)
	}
	return l, nil
}

// field returns a struct field with kong's tags. Kong shows the default in its help, but
// does not set it; reader.readProperty does.
func (p *property) field(all []property) reflect.StructField {
	help := p.Description
	if p.required {
		help += " Required."
	}
	for i := range all {
		if all[i].Secret && all[i].name+"_file" == p.name {
			help += " The environment variable " + all[i].env() + " may hold it instead."
			if all[i].required {
				help += " One of them is required."
			}
		}
	}
	if p.Default != nil && p.Default != "" {
		help += " Default: " + text(p.Default) + "."
	}
	t := reflect.TypeFor[string]()
	if p.Type == "array" {
		t = reflect.TypeFor[[]string]()
	}
	tag := fmt.Sprintf("name:%q env:%q placeholder:%q help:%q", p.flag()[2:], p.env(), p.Unit, help)
	return reflect.StructField{Name: "X" + p.name, Type: t, Tag: reflect.StructTag(tag)}
}

// text prints a JSON value without an exponent.
func text(v any) string {
	if n, ok := v.(float64); ok {
		return strconv.FormatFloat(n, 'f', -1, 64)
	}
	return fmt.Sprint(v)
}

// raw returns the text given for a property, one element for each entry of an array.
func (f *Flags) raw(p *property) []string {
	v := f.value.FieldByName("X" + p.name)
	switch {
	case !v.IsValid():
		return nil
	case v.Kind() == reflect.Slice:
		l, _ := v.Interface().([]string)
		return l
	case v.String() == "":
		return nil
	}
	return []string{v.String()}
}

func (f *Flags) getenv(k string) string {
	if f.Getenv != nil {
		return f.Getenv(k)
	}
	return os.Getenv(k)
}

func (f *Flags) readFile(p string) ([]byte, error) {
	if f.ReadFile != nil {
		return f.ReadFile(p)
	}
	return os.ReadFile(p)
}
