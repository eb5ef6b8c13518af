package encoder

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"wigeonspindle.example/wigeonspindle"
)

// labelPattern accepts names that are safe in paths, headers and log lines.
var labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checker is safe for concurrent use and caches the tags of the types that it has seen.
var checker = newChecker()

func newChecker() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(keyOf)
	// Neither registration fails: the tags are well formed and the functions are set.
	_ = checker.RegisterValidation("hostport", func(field validator.FieldLevel) bool {
		return IsAddress(field.Field().String())
	})
	_ = checker.RegisterValidation("label", func(field validator.FieldLevel) bool {
		return labelPattern.MatchString(field.Field().String())
	})
	return checker
}

// IsAddress reports whether a text is a usable IP:port. Names are refused because hosts
// resolve none; the unspecified address is refused because others cannot connect to it.
func IsAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

// Check validates a struct by its tags and reports every fault with the accepted range.
func Check(value any) Problems {
	var faults validator.ValidationErrors
	if !errors.As(checker.Struct(value), &faults) {
		return nil
	}
	root := reflect.Indirect(reflect.ValueOf(value)).Type()
	problems := make(Problems, 0, len(faults))
	for _, fault := range faults {
		_, path, _ := strings.Cut(fault.Namespace(), ".")
		problems = append(problems, Problem{Field: path, Message: accepted(root, fault)})
	}
	return problems
}

// accepted describes what the tags of a field accept.
func accepted(root reflect.Type, fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "is required"
	case "hostport":
		return "must be an IP address and a port such as 192.0.2.1:7000"
	case "printascii":
		return "must contain only printable ASCII characters"
	case "label":
		return "must begin with a letter or digit and contain only letters, digits, dots, underscores and hyphens"
	case "oneof":
		return "must be one of: " + strings.Join(strings.Fields(fault.Param()), ", ")
	}
	bounds := make(map[string]string)
	for part := range strings.SplitSeq(tagOf(root, fault.StructNamespace()), ",") {
		name, value, _ := strings.Cut(part, "=")
		bounds[name] = bound(fault.Type(), value)
	}
	unit, verb := "", "be"
	switch fault.Kind() {
	case reflect.String:
		unit, verb = " characters", "have"
	case reflect.Slice:
		unit, verb = " entries", "have"
	}
	return "must " + verb + " " + span(bounds) + unit
}

// span describes a range given by its bounds.
func span(bounds map[string]string) string {
	low, most := bounds["min"], bounds["max"]
	switch {
	case bounds["gt"] != "" && most != "":
		return fmt.Sprintf("more than %s and at most %s", bounds["gt"], most)
	case low != "" && most != "":
		return fmt.Sprintf("between %s and %s", low, most)
	case low != "":
		return "at least " + low
	case bounds["gt"] != "":
		return "more than " + bounds["gt"]
	}
	return "at most " + most
}

// bound formats a bound; those of durations are given in nanoseconds.
func bound(field reflect.Type, value string) string {
	if field == reflect.TypeFor[wigeonspindle.Duration]() {
		if nanoseconds, err := strconv.ParseInt(value, 10, 64); err == nil {
			return time.Duration(nanoseconds).String()
		}
	}
	return value
}

// tagOf returns the part of a field's validation tag that applies to the field, or to the
// element when the path ends in an index.
func tagOf(structure reflect.Type, path string) string {
	tag := ""
	for step := range strings.SplitSeq(path, ".") {
		name, _, element := strings.Cut(step, "[")
		for structure.Kind() == reflect.Slice || structure.Kind() == reflect.Pointer {
			structure = structure.Elem()
		}
		if structure.Kind() != reflect.Struct || name == structure.Name() {
			continue
		}
		field, ok := structure.FieldByName(name)
		if !ok {
			return ""
		}
		before, after, _ := strings.Cut(field.Tag.Get("validate"), "dive")
		tag, structure = before, field.Type
		if element {
			tag = after
		}
	}
	return tag
}
