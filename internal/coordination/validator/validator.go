// Package validator checks proposed configurations and summarizes their differences. It reports
// all faults at once, each with the path of the field and the accepted range.
package validator

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"wigeonspindle.example/wigeonspindle"
)

// MaxFaults bounds the faults reported for one configuration.
const MaxFaults = 100

// DefaultRules returns the rules of a new deployment.
func DefaultRules() wigeonspindle.Rules {
	return wigeonspindle.Rules{
		Extra: 0.05, Canary: true, Soft: 0.8,
		Lifetime: wigeonspindle.Duration(10 * time.Minute),
		Expiry:   wigeonspindle.Duration(10 * time.Minute),
		Lease:    wigeonspindle.Duration(3 * time.Second),
	}
}

// Validator checks configurations and other documents by the validate tags of their types.
type Validator struct {
	checker *validator.Validate
}

// New returns a validator that knows the custom rules of the validate tags.
func New() *Validator {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	// Registration returns an error only for an empty tag or a nil function.
	_ = checker.RegisterValidation("hostport", func(field validator.FieldLevel) bool {
		return IsAddress(field.Field().String())
	})
	_ = checker.RegisterValidation("label", func(field validator.FieldLevel) bool {
		return labelPattern.MatchString(field.Field().String())
	})
	return &Validator{checker: checker}
}

// labelPattern matches names that are safe in paths, headers and log lines.
var labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// IsAddress reports whether a text is an IP address and port that others can connect to. DNS
// names are refused because hosts and targets use numeric addresses only.
func IsAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

// Check returns the faults of a configuration, at most MaxFaults.
func (v *Validator) Check(config wigeonspindle.Config) []wigeonspindle.Fault {
	faults := append(v.CheckStruct(config), checkCrossFields(config)...)
	if len(faults) > MaxFaults {
		rest := fmt.Sprintf("%d more faults", len(faults)-MaxFaults+1)
		faults = append(faults[:MaxFaults-1], wigeonspindle.Fault{Message: rest})
	}
	return faults
}

// CheckStruct returns the faults of a struct by the validate tags of its fields.
func (v *Validator) CheckStruct(value any) []wigeonspindle.Fault {
	err := v.checker.Struct(value)
	if err == nil {
		return nil
	}
	list, ok := err.(validator.ValidationErrors)
	if !ok {
		return []wigeonspindle.Fault{{Message: err.Error()}}
	}
	root := reflect.Indirect(reflect.ValueOf(value)).Type()
	faults := make([]wigeonspindle.Fault, 0, len(list))
	for _, fault := range list {
		_, path, _ := strings.Cut(fault.Namespace(), ".")
		faults = append(faults, wigeonspindle.Fault{Field: path, Message: faultMessage(root, fault)})
	}
	return faults
}

// NewRefusal returns a refusal with the faults, or nil when there are none.
func NewRefusal(faults []wigeonspindle.Fault) *wigeonspindle.Refusal {
	if len(faults) == 0 {
		return nil
	}
	return &wigeonspindle.Refusal{
		Code: wigeonspindle.CodeInvalid, Verdict: wigeonspindle.NotRun,
		Field: faults[0].Field, Message: faults[0].Message, Faults: faults,
	}
}

// faultMessage describes a fault with everything that the field accepts, not only the bound
// that was exceeded.
func faultMessage(root reflect.Type, fault validator.FieldError) string {
	accepted := acceptedValues(root, fault.StructNamespace(), fault.Type())
	if fault.Tag() == "required" {
		return "is missing, accepted: " + accepted
	}
	return fmt.Sprintf("got %s, accepted: %s", formatValue(fault.Value()), accepted)
}

// formatValue formats a value for a message. The String method of a secret hides its value.
func formatValue(value any) string {
	if text, ok := value.(fmt.Stringer); ok {
		return text.String()
	}
	reflected := reflect.ValueOf(value)
	switch reflected.Kind() {
	case reflect.String:
		text := reflected.String()
		if len(text) > 64 {
			return fmt.Sprintf("%d characters", len(text))
		}
		return strconv.Quote(text)
	case reflect.Slice:
		return fmt.Sprintf("%d elements", reflected.Len())
	}
	return fmt.Sprint(value)
}

// acceptedValues describes the rules of the field at a path of Go field names from root.
func acceptedValues(root reflect.Type, path string, valueType reflect.Type) string {
	rules, isElement := fieldRules(root, path)
	if before, after, found := strings.Cut(rules, "dive"); found {
		rules = before
		if isElement {
			rules = after
		}
	}
	var descriptions []string
	for rule := range strings.SplitSeq(strings.Trim(rules, ","), ",") {
		descriptions = append(descriptions, describeRule(rule, valueType))
	}
	return strings.Join(descriptions, ", ")
}

func describeRule(rule string, valueType reflect.Type) string {
	name, value, _ := strings.Cut(rule, "=")
	unit := ""
	switch {
	case valueType == reflect.TypeFor[wigeonspindle.Duration]():
		if nanoseconds, err := strconv.ParseInt(value, 10, 64); err == nil {
			value = time.Duration(nanoseconds).String()
		}
	case valueType.Kind() == reflect.String:
		unit = " characters"
	case valueType.Kind() == reflect.Slice:
		unit = " elements"
	}
	switch name {
	case "required":
		return "not empty"
	case "min":
		return "at least " + value + unit
	case "max":
		return "at most " + value + unit
	case "gt":
		return "more than " + value + unit
	case "oneof":
		return "one of " + strings.ReplaceAll(value, " ", ", ")
	case "hostport":
		return "an IP address with a port, such as 10.0.0.1:8080"
	case "label":
		return "only letters, digits, dots, underscores and hyphens, the first one a letter or digit"
	case "printascii":
		return "only printable ASCII characters"
	}
	return rule
}

// fieldRules returns the validate tag of the field and whether the path ends in a list element.
func fieldRules(root reflect.Type, path string) (rules string, isElement bool) {
	parent := root
	for i, part := range strings.Split(path, ".") {
		if i == 0 {
			continue
		}
		name, _, indexed := strings.Cut(part, "[")
		for parent.Kind() == reflect.Slice || parent.Kind() == reflect.Pointer {
			parent = parent.Elem()
		}
		field, ok := parent.FieldByName(name)
		if !ok {
			return "", false
		}
		parent, rules, isElement = field.Type, field.Tag.Get("validate"), indexed
	}
	return rules, isElement
}
