package catalogue

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// namePattern keeps names usable in metric labels, table keys and command lines.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

var validate = newValidator()

// Problem is a field with an invalid value.
type Problem struct {
	// Field is the path of the field in the operators' API.
	Field string
	Value string
	// Allowed describes the values that the field accepts.
	Allowed string
}

// String returns the problem as one sentence.
func (p Problem) String() string {
	return fmt.Sprintf("%s is %q, allowed: %s", p.Field, p.Value, p.Allowed)
}

// ValidationError lists all problems of an entry.
type ValidationError struct {
	Service  string
	Problems []Problem
}

// Error implements error.
func (e *ValidationError) Error() string {
	parts := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		parts[i] = p.String()
	}
	return fmt.Sprintf("entry %q is invalid: %s", e.Service, strings.Join(parts, "; "))
}

// Validate returns nil or a *ValidationError with all problems of e.
func (e Entry) Validate() error {
	var fields validator.ValidationErrors
	if !errors.As(validate.Struct(e), &fields) {
		return nil
	}
	out := &ValidationError{Service: e.Service}
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		out.Problems = append(out.Problems, Problem{
			Field:   fieldNames[path],
			Value:   fmt.Sprint(f.Value()),
			Allowed: allowed(f),
		})
	}
	return out
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	mustRegister(v, "name", func(f validator.FieldLevel) bool {
		return namePattern.MatchString(f.Field().String())
	})
	mustRegister(v, "class", func(f validator.FieldLevel) bool {
		return Class(f.Field().Uint()).Valid()
	})
	return v
}

func mustRegister(v *validator.Validate, tag string, check validator.Func) {
	if err := v.RegisterValidation(tag, check, true); err != nil {
		panic(err)
	}
}

// fieldNames maps the Go path of a field to its path in the operators' API.
var fieldNames = map[string]string{
	"Service":                 "service",
	"Owner":                   "owner",
	"Class":                   "class",
	"Limits.MaxInFlight":      "limits.max_in_flight",
	"Limits.MaxQueue":         "limits.max_queue",
	"Limits.RatePerSecond":    "limits.rate_per_second",
	"Limits.Burst":            "limits.burst",
	"Limits.MaxPayloadBytes":  "limits.max_payload_bytes",
	"Limits.DefaultTimeoutMS": "limits.default_timeout_ms",
}

// allowed describes the values accepted by the rule that f violates.
func allowed(f validator.FieldError) string {
	switch f.Tag() {
	case "name":
		return "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit"
	case "class":
		return "critical, standard or background"
	case "lte":
		return "0 to " + f.Param()
	default:
		return "a number of at least " + f.Param()
	}
}
