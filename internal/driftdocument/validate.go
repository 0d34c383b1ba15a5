package driftdocument

import (
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

var validate = newValidator()

// newValidator returns a validator that reports the JSON names of fields and
// supports the ipport tag.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	v.RegisterCustomTypeFunc(validatedDuration, Duration(0))
	mustRegisterTag(v, "ipport", isIPPort)
	return v
}

func mustRegisterTag(v *validator.Validate, tag string, check validator.Func) {
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(err)
	}
}

// validatedDuration converts a Duration so that the validator can compare it
// with limits such as 1ms.
func validatedDuration(field reflect.Value) any {
	return time.Duration(field.Int())
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// isIPPort accepts an IP address and a port, such as "127.0.0.1:7000".
func isIPPort(level validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(level.Field().String())
	return err == nil
}
