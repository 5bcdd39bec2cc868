// Package config reads the settings files of the daemons: JSON with comments, with a struct and a
// function of defaults for each section. Unknown fields and values out of range are errors; all
// problems of a file are reported together, each with its line, its field and the allowed values.
//
// The package owns the keys, defaults and limits of all settings, and the conversion to the
// settings of the packages that use them. It relies on job.ValidName for names.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// Problem is one error in a settings file.
type Problem struct {
	File    string
	Line    int    // from 1; 0 if the field is not in the file
	Field   string // path of the field, such as jobs.max_tasks
	Reason  string
	Allowed string
}

// String returns the problem as one line of text that begins with the file and the line number.
func (p Problem) String() string {
	s := fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Reason)
	if p.Allowed != "" {
		s += " (allowed: " + p.Allowed + ")"
	}
	return s
}

// Problems is the error returned for a file with invalid content.
type Problems []Problem

// Error returns all problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Settings is implemented by the struct of each role's settings file.
type Settings interface {
	// check reports values that are of the right type but not allowed.
	check(c *checker)
	// LogLevel returns the level of the program's log.
	LogLevel() string
}

// Load reads the file into s, which holds the defaults. It returns Problems if the content is
// invalid.
func Load(file string, s Settings) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errs.Wrap(err)
	}
	return Parse(file, text, s)
}

// Parse decodes text into s, which holds the defaults, and returns Problems if text is invalid;
// file is the name used in them.
func Parse(file string, text []byte, s Settings) error {
	d := &decoder{file: file, text: text, lines: make(map[string]int)}
	root, err := hujson.Parse(text)
	if err != nil {
		return Problems{{File: file, Line: d.lineOfError(err), Field: "(file)", Reason: err.Error(), Allowed: "JSON with comments"}}
	}
	d.value("", root, reflect.ValueOf(s).Elem())
	s.check(&checker{d})
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, k int) bool { return d.problems[i].Line < d.problems[k].Line })
	return d.problems
}

// decoder decodes one file and collects its problems.
type decoder struct {
	file     string
	text     []byte
	lines    map[string]int // line numbers by field path
	problems Problems
}

// line returns the line number of a byte offset, from 1.
func (d *decoder) line(offset int) int {
	return 1 + bytes.Count(d.text[:min(offset, len(d.text))], []byte("\n"))
}

// lineOfError returns the line number in an error of hujson; 0 if there is none.
func (d *decoder) lineOfError(err error) int {
	var line int
	if _, text, ok := strings.Cut(err.Error(), "line "); ok {
		_, _ = fmt.Sscanf(text, "%d", &line)
	}
	return line
}

func (d *decoder) report(path, reason, allowed string) {
	d.problems = append(d.problems, Problem{d.file, d.lines[path], path, reason, allowed})
}

func (d *decoder) value(path string, v hujson.Value, into reflect.Value) {
	d.lines[path] = d.line(v.StartOffset)
	switch x := v.Value.(type) {
	case *hujson.Object:
		if into.Kind() == reflect.Struct {
			d.object(path, x, into)
			return
		}
	case *hujson.Array:
		if into.Kind() == reflect.Slice {
			d.array(path, x, into)
			return
		}
	}
	d.leaf(path, v, into)
}

func (d *decoder) leaf(path string, v hujson.Value, into reflect.Value) {
	v = v.Clone()
	v.Standardize()
	if string(bytes.TrimSpace(v.Pack())) == "null" || json.Unmarshal(v.Pack(), into.Addr().Interface()) != nil {
		d.report(path, "wrong type or value", allowedType(into.Type()))
	}
}

func (d *decoder) object(path string, o *hujson.Object, into reflect.Value) {
	fields := fieldsOf(into)
	seen := make(map[string]bool)
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		sub := join(path, name)
		d.lines[sub] = d.line(m.Name.StartOffset)
		field, ok := fields[name]
		switch {
		case !ok:
			d.report(sub, "unknown field", strings.Join(names(fields), ", "))
		case seen[name]:
			d.report(sub, "given twice", "once")
		default:
			d.value(sub, m.Value, field)
		}
		seen[name] = true
	}
}

func (d *decoder) array(path string, a *hujson.Array, into reflect.Value) {
	out := reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), e, out.Index(i))
	}
	into.Set(out)
}

// fieldsOf returns the fields of a struct by their JSON keys.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("json")] = v.Field(i)
	}
	return fields
}

func names(fields map[string]reflect.Value) []string {
	out := make([]string, 0, len(fields))
	for n := range fields {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// allowedType describes the JSON values that can be decoded into t.
func allowedType(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return `a duration such as "250ms"`
	}
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
