package driftdocument

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"sync"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
)

// maxDepth is the number of objects and lists that may contain each other in a
// document or record. Those in use need up to six.
const maxDepth = 32

// DecodeRecord decodes one JSON value that another program has written, checks it
// against the validate tags of the target, and ignores unknown fields. Pointers
// with the tag required tell a missing field from a zero one. The error satisfies
// errors.Is(err, errors.NotValid).
func DecodeRecord(body []byte, target any) error {
	if err := checkShape(body, reflect.TypeOf(target)); err != nil {
		return err
	}
	if err := json.Unmarshal(body, target); err != nil {
		return errors.NewNotValid(decodeError(err), "malformed JSON")
	}
	return Validate(target)
}

// checkShape refuses what two readers may read differently, or not at all: bytes
// that are no UTF-8, deep nesting, and a name that an object has twice or in another
// case. It is for JSON values of the type; errors of syntax are left to the
// decoding, unless they end the check.
func checkShape(body []byte, target reflect.Type) error {
	if !utf8.Valid(body) {
		return errors.NotValidf("text that is not UTF-8")
	}
	s := shape{Decoder: json.NewDecoder(bytes.NewReader(body)), names: fieldNames(target)}
	s.UseNumber()
	return s.checkValue(0)
}

// namesByType caches the results of fieldNames.
var namesByType sync.Map

// fieldNames returns the names of all fields that a type contains, by their folded
// form.
func fieldNames(t reflect.Type) map[string]string {
	if cached, ok := namesByType.Load(t); ok {
		names, _ := cached.(map[string]string)
		return names
	}
	names := make(map[string]string)
	addNames(names, t)
	namesByType.Store(t, names)
	return names
}

// shape checks the nesting and the names of one JSON value.
type shape struct {
	*json.Decoder
	// names holds the names of the target's fields by their folded form.
	names map[string]string
}

func addNames(names map[string]string, t reflect.Type) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		addNames(names, t.Elem())
	case reflect.Struct:
		for f := range t.Fields() {
			if name := jsonName(f); name != "" && name != "-" {
				names[fold(name)] = name
			}
			addNames(names, f.Type)
		}
	default:
	}
}

// checkValue checks the next value, which is inside depth others.
func (s *shape) checkValue(depth int) error {
	token, err := s.Token()
	delimiter, nested := token.(json.Delim)
	switch {
	case err != nil:
		return errors.NewNotValid(err, "malformed JSON")
	case !nested:
		return nil
	case depth == maxDepth:
		return errors.NotValidf("nesting deeper than %d", maxDepth)
	}
	seen := make(map[string]bool)
	for s.More() {
		if delimiter == '{' {
			if err := s.checkName(seen); err != nil {
				return err
			}
		}
		if err := s.checkValue(depth + 1); err != nil {
			return err
		}
	}
	if _, err := s.Token(); err != nil {
		return errors.NewNotValid(err, "malformed JSON")
	}
	return nil
}

// checkName checks the next name of an object with the names seen.
func (s *shape) checkName(seen map[string]bool) error {
	token, err := s.Token()
	if err != nil {
		return errors.NewNotValid(err, "malformed JSON")
	}
	name, _ := token.(string)
	folded := fold(name)
	exact, known := s.names[folded]
	switch {
	case known && exact != name:
		return errors.NotValidf("field %q in place of %q", truncate(name), exact)
	case seen[folded] && !known:
		// A misplaced secret may be such a name.
		return errors.NotValidf("unknown field before byte %d given twice", s.InputOffset())
	case seen[folded]:
		return errors.NotValidf("field %q given twice", truncate(name))
	}
	seen[folded] = true
	return nil
}

// fold returns the form in which encoding/json compares names.
func fold(name string) string {
	if !strings.ContainsFunc(name, func(r rune) bool { return r > unicode.MaxASCII }) {
		return strings.ToUpper(name)
	}
	return strings.Map(func(r rune) rune {
		for {
			next := unicode.SimpleFold(r)
			if next <= r {
				return next
			}
			r = next
		}
	}, name)
}
