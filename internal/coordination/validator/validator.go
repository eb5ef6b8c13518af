// Package validator checks proposed configurations and describes their differences. It
// reports every fault at once, each with the path of its field and the accepted range.
package validator

import (
	"fmt"
	"net/netip"
	"reflect"
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

// Validator checks configurations.
type Validator struct {
	checker *validator.Validate
}

// New returns a validator of the rules in the tags of the inventory types.
func New() *Validator {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	// Registration fails only for an empty tag or a nil function.
	_ = checker.RegisterValidation("hostport", hostport)
	return &Validator{checker: checker}
}

// hostport accepts an IP address with a port. Names are refused because hosts and targets
// communicate by numeric addresses.
func hostport(field validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(field.Field().String())
	return err == nil && address.Port() != 0
}

// Check returns the faults of a configuration, at most MaxFaults.
func (v *Validator) Check(config wigeonspindle.Config) []wigeonspindle.Fault {
	var faults []wigeonspindle.Fault
	if err := v.checker.Struct(config); err != nil {
		list, ok := err.(validator.ValidationErrors)
		if !ok {
			return []wigeonspindle.Fault{{Message: err.Error()}}
		}
		for _, fault := range list {
			_, path, _ := strings.Cut(fault.Namespace(), ".")
			faults = append(faults, wigeonspindle.Fault{Field: path, Message: explain(fault)})
		}
	}
	faults = append(faults, cross(config)...)
	if len(faults) > MaxFaults {
		rest := fmt.Sprintf("%d more faults", len(faults)-MaxFaults+1)
		faults = append(faults[:MaxFaults-1], wigeonspindle.Fault{Message: rest})
	}
	return faults
}

// Refuse returns the refusal that carries the faults, or nil without faults.
func Refuse(faults []wigeonspindle.Fault) *wigeonspindle.Refusal {
	if len(faults) == 0 {
		return nil
	}
	return &wigeonspindle.Refusal{
		Code: wigeonspindle.CodeInvalid, Verdict: wigeonspindle.NotRun,
		Field: faults[0].Field, Message: faults[0].Message, Faults: faults,
	}
}

// explain states what the field accepts, with the whole range and not only the bound that
// was exceeded.
func explain(fault validator.FieldError) string {
	accepted := accepted(fault.StructNamespace(), fault.Type())
	return fmt.Sprintf("got %s, accepted: %s", show(fault.Value()), accepted)
}

func show(value any) string {
	if duration, ok := value.(wigeonspindle.Duration); ok {
		return duration.String()
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

// accepted describes the rules of the field at a path of Go field names.
func accepted(path string, kind reflect.Type) string {
	rules, element := tag(path)
	if before, after, found := strings.Cut(rules, "dive"); found {
		rules = before
		if element {
			rules = after
		}
	}
	var texts []string
	for rule := range strings.SplitSeq(strings.Trim(rules, ","), ",") {
		texts = append(texts, describe(rule, kind))
	}
	return strings.Join(texts, ", ")
}

func describe(rule string, kind reflect.Type) string {
	name, value, _ := strings.Cut(rule, "=")
	unit := ""
	switch {
	case kind == reflect.TypeFor[wigeonspindle.Duration]():
		if nanoseconds, err := strconv.ParseInt(value, 10, 64); err == nil {
			value = time.Duration(nanoseconds).String()
		}
	case kind.Kind() == reflect.String:
		unit = " characters"
	case kind.Kind() == reflect.Slice:
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
	}
	return rule
}

// tag returns the rules of the field and whether the path ends in an element of a list.
func tag(path string) (rules string, element bool) {
	current := reflect.TypeFor[wigeonspindle.Config]()
	for i, part := range strings.Split(path, ".") {
		if i == 0 {
			continue
		}
		name, _, indexed := strings.Cut(part, "[")
		for current.Kind() == reflect.Slice {
			current = current.Elem()
		}
		field, ok := current.FieldByName(name)
		if !ok {
			return "", false
		}
		current, rules, element = field.Type, field.Tag.Get("validate"), indexed
	}
	return rules, element
}
