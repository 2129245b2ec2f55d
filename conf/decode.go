// Package conf decodes settings and declarations from INI files. It validates every
// key while decoding; errors name the file, the line and the fix.
package conf

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"gopkg.in/ini.v1"

	"plantainwinch/winch"
)

// File is a parsed INI file. It keeps the source lines to report the line of a key.
type File struct {
	Name  string
	ini   *ini.File
	lines []string
}

// Parse parses INI text. Name is used in errors.
func Parse(name string, text []byte) (*File, error) {
	f := &File{Name: name, lines: strings.Split(string(text), "\n")}
	if err := f.checkLines(); err != nil {
		return nil, err
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: false, SpaceBeforeInlineComment: true}, text)
	if err != nil {
		return nil, merry.Errorf("%s: %v", name, err)
	}
	f.ini = parsed
	return f, nil
}

// checkLines rejects what the INI library accepts without an error: lines that are
// not settings, and repeated keys or sections, of which it would use only the last.
func (f *File) checkLines() error {
	section := ""
	seen := make(map[string]int)
	for i, raw := range f.lines {
		line := strings.TrimSpace(raw)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		id := line
		if line[0] == '[' {
			if !strings.HasSuffix(line, "]") {
				return f.errorAt(i+1, "section %q has no closing bracket: write it as [Name]", line)
			}
			section = line
		} else {
			key, _, ok := strings.Cut(line, "=")
			if !ok {
				return f.errorAt(i+1, "%q is not a setting: write it as Key = Value", line)
			}
			id = section + "." + strings.TrimSpace(key)
		}
		if first := seen[id]; first > 0 {
			return f.errorAt(i+1, "%s already appears on line %d: keep one of the two", strings.TrimPrefix(id, section+"."), first)
		}
		seen[id] = i + 1
	}
	return nil
}

func (f *File) errorAt(line int, format string, args ...any) error {
	return merry.Errorf("%s:%d: %s", f.Name, line, fmt.Sprintf(format, args...))
}

// Errorf returns an error that names the line of a key, or the line of its section if
// the key is empty or not found.
func (f *File) Errorf(section, key, format string, args ...any) error {
	return f.errorAt(f.lineOf(section, key), format, args...)
}

func (f *File) lineOf(section, key string) int {
	inSection, found := section == "", 1
	for i, raw := range f.lines {
		line := strings.TrimSpace(raw)
		if strings.HasPrefix(line, "[") {
			inSection = strings.TrimSpace(strings.Trim(line, "[]")) == section
			if inSection {
				found = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if inSection && ok && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return found
}

// Sections returns the names of all sections in the order of the file. The unnamed
// default section is included only if it has keys.
func (f *File) Sections() []string {
	var out []string
	for _, s := range f.ini.Sections() {
		if s.Name() != ini.DefaultSection || len(s.Keys()) > 0 {
			out = append(out, s.Name())
		}
	}
	return out
}

// Section decodes one section into the struct that target points to. The keys are the
// names of the struct's fields; a field with the tag conf:"required" must have a key.
func (f *File) Section(name string, target any) error {
	v := reflect.ValueOf(target).Elem()
	section, err := f.ini.GetSection(name)
	if err != nil {
		section, _ = f.ini.NewSection(name)
	}
	for _, key := range section.Keys() {
		field := v.FieldByName(key.Name())
		if !field.IsValid() {
			names := fieldNames(v.Type())
			return f.Errorf(name, key.Name(), "unknown key %s in [%s]: did you mean %s? The valid keys are %s",
				key.Name(), name, Nearest(key.Name(), names), strings.Join(names, ", "))
		}
		if err := setField(field, key.String()); err != nil {
			return f.Errorf(name, key.Name(), "%s = %s: %v", key.Name(), key.String(), err)
		}
	}
	return f.checkRequired(name, section, v)
}

func (f *File) checkRequired(name string, section *ini.Section, v reflect.Value) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Tag.Get("conf") == "required" && !section.HasKey(field.Name) {
			return f.Errorf(name, "", "key %s is missing in [%s]: add a line %s = ...", field.Name, name, field.Name)
		}
	}
	return nil
}

func fieldNames(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		out = append(out, t.Field(i).Name)
	}
	return out
}

func setField(field reflect.Value, text string) error {
	switch field.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return merry.New("not a duration: write a number with its unit, such as 250ms, 5s or 1h30m")
		}
		field.SetInt(int64(d))
	case winch.Bytes:
		n, err := ParseBytes(text)
		if err != nil {
			return err
		}
		field.SetInt(int64(n))
	case []string:
		field.Set(reflect.ValueOf(splitList(text)))
	case bool:
		if text != "true" && text != "false" {
			return merry.New("write true or false")
		}
		field.SetBool(text == "true")
	case int:
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return merry.New("not a whole number: write it with digits only, without a unit")
		}
		field.SetInt(int64(n))
	case float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || n < 0 {
			return merry.New("not a number: write it as 0.4")
		}
		field.SetFloat(n)
	default:
		if text == "" {
			return merry.New("is empty: give it a value or remove the line")
		}
		field.SetString(text)
	}
	return nil
}

func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
