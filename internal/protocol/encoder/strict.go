package encoder

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode/utf8"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
)

// Faults are all faults found in one document.
type Faults []wigeonspindle.Fault

// Error returns a single fault on one line, and several faults as their number followed by
// one line for each.
func (f Faults) Error() string {
	if len(f) == 1 {
		return formatFault(f[0])
	}
	text := fmt.Sprintf("%d faults", len(f))
	for _, fault := range f {
		text += "\n  " + formatFault(fault)
	}
	return text
}

func formatFault(fault wigeonspindle.Fault) string {
	if fault.Field == "" {
		return fault.Message
	}
	return fault.Field + ": " + fault.Message
}

// HasField reports whether any of the faults concerns the field.
func (f Faults) HasField(field string) bool {
	return slices.ContainsFunc(f, func(fault wigeonspindle.Fault) bool { return fault.Field == field })
}

// Refusal returns the faults as a refusal, or nil when there are none.
func (f Faults) Refusal() *wigeonspindle.Refusal { return validator.NewRefusal(f) }

// DecodeStrict decodes one JSON value and reports all unknown keys, repeated keys and wrong
// types in it. Keys are case-sensitive. Fields without a fault are set.
func DecodeStrict(data []byte, value any) Faults {
	if !utf8.Valid(data) {
		return Faults{{Message: "the document is not UTF-8"}}
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return Faults{{Message: "the document is not one JSON value: " + err.Error()}}
	}
	var decoder strictDecoder
	decoder.value(data, reflect.ValueOf(value).Elem(), "")
	return decoder.faults
}

// strictDecoder decodes a JSON value whose syntax has been checked and collects the faults.
type strictDecoder struct {
	faults Faults
}

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *strictDecoder) value(data []byte, target reflect.Value, path string) {
	data = bytes.TrimSpace(data)
	switch kind := target.Kind(); {
	case bytes.Equal(data, []byte("null")):
		d.addFault(path, "must not be null")
	case kind == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(data, target.Elem(), path)
	case reflect.PointerTo(target.Type()).Implements(textUnmarshalerType):
		d.scalar(data, target, path)
	case kind == reflect.Struct:
		d.object(data, target, path)
	case kind == reflect.Slice && target.Type().Elem().Kind() != reflect.Uint8:
		d.array(data, target, path)
	default:
		d.scalar(data, target, path)
	}
}

func (d *strictDecoder) object(data []byte, target reflect.Value, path string) {
	if data[0] != '{' {
		d.addFault(path, "must be an object")
		return
	}
	fields := fieldIndexes(target.Type())
	seen := make(map[string]bool)
	decoder := json.NewDecoder(bytes.NewReader(data))
	_, _ = decoder.Token() // DecodeStrict has checked the syntax, so the calls below cannot fail.
	for decoder.More() {
		token, _ := decoder.Token()
		key, _ := token.(string)
		var member json.RawMessage
		_ = decoder.Decode(&member)
		index, known := fields[key]
		switch {
		case !known:
			d.addFault(joinPath(path, key), "is not a known key")
		case seen[key]:
			d.addFault(joinPath(path, key), "is given twice")
		default:
			d.value(member, target.Field(index), joinPath(path, key))
		}
		seen[key] = true
	}
}

func (d *strictDecoder) array(data []byte, target reflect.Value, path string) {
	if data[0] != '[' {
		d.addFault(path, "must be a list")
		return
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	_, _ = decoder.Token()
	elements := reflect.MakeSlice(target.Type(), 0, 0)
	for i := 0; decoder.More(); i++ {
		var member json.RawMessage
		_ = decoder.Decode(&member)
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(member, element, fmt.Sprintf("%s[%d]", path, i))
		elements = reflect.Append(elements, element)
	}
	target.Set(elements)
}

func (d *strictDecoder) scalar(data []byte, target reflect.Value, path string) {
	if err := json.Unmarshal(data, target.Addr().Interface()); err != nil {
		d.addFault(path, "must be "+describeExpected(target))
	}
}

func (d *strictDecoder) addFault(path, message string) {
	d.faults = append(d.faults, wigeonspindle.Fault{Field: path, Message: message})
}

// describeExpected describes the JSON values that a field accepts.
func describeExpected(target reflect.Value) string {
	switch target.Interface().(type) {
	case wigeonspindle.Duration:
		return `a text with a number and a unit such as "150ms" or "3s"`
	case wigeonspindle.Verdict:
		return "one of: not-run, may-have-run, ran"
	}
	switch {
	case target.Kind() == reflect.String:
		return "a text"
	case target.Kind() == reflect.Bool:
		return "true or false"
	case target.CanInt():
		return "a whole number"
	case target.CanUint():
		return "a whole number that is not negative"
	case target.CanFloat():
		return "a number"
	}
	return "a " + target.Type().Name()
}

// fieldIndexes maps the JSON keys of a struct type to the indexes of their fields.
func fieldIndexes(structType reflect.Type) map[string]int {
	fields := make(map[string]int, structType.NumField())
	for i := range structType.NumField() {
		if key := jsonKey(structType.Field(i)); key != "" {
			fields[key] = i
		}
	}
	return fields
}

// jsonKey returns the JSON key of a field, or an empty string when the field is not decoded.
func jsonKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if key == "-" || !field.IsExported() {
		return ""
	}
	return key
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
