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
// supports the tags ipport, endpoint and endpoint4.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	v.RegisterCustomTypeFunc(validatedDuration, Duration(0))
	mustRegisterTag(v, "ipport", isIPPort)
	mustRegisterTag(v, "endpoint", isEndpoint)
	mustRegisterTag(v, "endpoint4", isEndpoint4)
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

// isEndpoint accepts an IP address and a port that can be dialled.
func isEndpoint(level validator.FieldLevel) bool {
	endpoint, err := netip.ParseAddrPort(level.Field().String())
	ip := endpoint.Addr()
	return err == nil && endpoint.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast()
}

// isEndpoint4 accepts the endpoints of IPv4.
func isEndpoint4(level validator.FieldLevel) bool {
	endpoint, err := netip.ParseAddrPort(level.Field().String())
	return err == nil && endpoint.Addr().Is4() && isEndpoint(level)
}
