package driftdocument

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/juju/errors"
)

// FieldError reports a field whose value is not allowed.
type FieldError struct {
	Field, Value, Allowed string
}

// Error implements error.
func (e FieldError) Error() string {
	return fmt.Sprintf("field %s: value %s is not valid (allowed: %s)", e.Field, e.Value, e.Allowed)
}

// Validate checks a struct against its validate tags. The error names the first
// invalid field, its value and what is allowed, and satisfies
// errors.Is(err, errors.NotValid).
func Validate(value any) error {
	err := validate.Struct(value)
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	f := fields[0]
	return errors.NewNotValid(FieldError{
		Field: fieldPath(f.Namespace()), Value: truncate(fmt.Sprint(f.Value())), Allowed: allowedByTag(f),
	}, "")
}

func fieldPath(namespace string) string {
	_, path, found := strings.Cut(namespace, ".")
	if !found {
		return namespace
	}
	return path
}

// maxValueTextBytes limits how much of a value is included in an error.
const maxValueTextBytes = 64

func truncate(value string) string {
	if len(value) <= maxValueTextBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueTextBytes], "") + "..."
}

// allowedByTag describes what a validate tag allows.
func allowedByTag(f validator.FieldError) string {
	unit := ""
	switch f.Kind() {
	case reflect.String:
		unit = " characters"
	case reflect.Slice:
		unit = " entries"
	default:
	}
	switch f.Tag() {
	case "required":
		return "a non-empty value"
	case "min":
		return "at least " + f.Param() + unit
	case "max":
		return "at most " + f.Param() + unit
	case "oneof":
		return "one of " + f.Param()
	case "unique":
		return "entries without duplicates"
	case "printascii":
		return "printable ASCII characters"
	case "ipport":
		return "an IP number and a port, such as 127.0.0.1:7000"
	case "endpoint", "endpoint4":
		return "an IP number and a port above 0, such as 127.0.0.1:7000"
	}
	return f.Tag() + " " + f.Param()
}

// unknownFieldPrefix begins the error of encoding/json for a field that the
// struct does not have. That error has no type of its own.
const unknownFieldPrefix = "json: unknown field "

// decodeError converts an error of encoding/json about a field into a
// FieldError, and returns other errors unchanged.
func decodeError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		return FieldError{
			Field: mismatch.Field, Value: truncate(mismatch.Value), Allowed: allowedByType(mismatch.Type),
		}
	}
	if name, found := strings.CutPrefix(err.Error(), unknownFieldPrefix); found {
		return FieldError{Field: strings.Trim(name, `"`), Value: "given", Allowed: "only documented fields"}
	}
	return err
}

func allowedByType(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return `a duration such as "40ms"`
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	default:
		return "a number in range"
	}
}
