// Package driftdocument reads the documents that operators and the platform
// publish in the configuration service: the failure domains, the classes of
// work, the marks, and for each service its upstreams and index versions.
//
// A document with any invalid part is refused as a whole. The error names the
// document, the field, the value and what is allowed.
//
// # Usage
//
//	doc, err := driftdocument.Parse("classes", body)
//	switch d := doc.(type) {
//	case driftdocument.Classes:
//		setClasses(d.Classes)
//	}
package driftdocument

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Keys of the configuration service. The keys of a service end with its name.
const (
	KeyDomains         = "domains"
	KeyClasses         = "classes"
	KeyMarks           = "marks"
	KeyUpstreamsPrefix = "upstreams/"
	KeyVersionsPrefix  = "versions/"
)

// Document is one of Domains, Classes, Marks, Upstreams and Versions.
type Document interface {
	document()
}

// Domain is a published failure domain.
type Domain struct {
	Name   string `json:"name" validate:"required,max=64"`
	Region string `json:"region" validate:"max=64"`
}

// Domains is the document under KeyDomains.
type Domains struct {
	Domains []Domain `json:"domains" validate:"required,unique=Name,dive"`
}

// Class is a published class of work. CoverageFloor is the smallest coverage of
// an answer, between 0 and 1. NonIdempotent marks requests that may run at most
// once.
type Class struct {
	Name             string   `json:"name" validate:"required,max=64"`
	Service          string   `json:"service" validate:"required,max=64"`
	LatencyObjective Duration `json:"fast" validate:"required,min=1ms,max=10m"`
	CoverageFloor    float64  `json:"whole" validate:"min=0,max=1"`
	NonIdempotent    bool     `json:"once"`
}

// Classes is the document under KeyClasses.
type Classes struct {
	Classes []Class `json:"classes" validate:"required,unique=Name,dive"`
}

// Marks is the document under KeyMarks: the names of the failure domains and
// VMs that are out of service.
type Marks struct {
	Domains []string `json:"domains" validate:"unique,dive,required,max=64"`
	VMs     []string `json:"vms" validate:"unique,dive,required,max=64"`
}

// Upstream is a published upstream. Slots is the number of requests that it runs
// concurrently, MaxConnections the number of connections that it accepts from
// the whole fleet, and ConnectionCost the cost of opening one.
type Upstream struct {
	Name           string   `json:"name" validate:"required,max=128"`
	Domain         string   `json:"domain" validate:"required,max=64"`
	Address        string   `json:"address" validate:"required,endpoint"`
	Slots          int      `json:"slots" validate:"min=1,max=10000"`
	MaxConnections int      `json:"connections" validate:"min=1,max=100000"`
	ConnectionCost Duration `json:"opening" validate:"min=0s,max=1m"`
	Leaving        bool     `json:"leaving"`
}

// Upstreams is the document under KeyUpstreamsPrefix followed by a service name.
type Upstreams struct {
	Service   string     `json:"-"`
	Upstreams []Upstream `json:"upstreams" validate:"unique=Name,dive"`
}

// Shard is one shard of a published version.
type Shard struct {
	Name      string   `json:"name" validate:"required,max=128"`
	Depots    []string `json:"depots" validate:"unique,dive,required,max=128"`
	Upstreams []string `json:"upstreams" validate:"unique,dive,required,max=128"`
}

// Version is one published index version.
type Version struct {
	Number uint64  `json:"number" validate:"min=1"`
	Shards []Shard `json:"shards" validate:"required,unique=Name,dive"`
}

// Versions is the document under KeyVersionsPrefix followed by a service name.
type Versions struct {
	Service  string    `json:"-"`
	Versions []Version `json:"versions" validate:"required,unique=Number,dive"`
}

func (Domains) document()   {}
func (Classes) document()   {}
func (Marks) document()     {}
func (Upstreams) document() {}
func (Versions) document()  {}

// Duration is a time.Duration that is encoded in JSON as a string such as
// "40ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &json.UnmarshalTypeError{Value: string(data), Type: reflect.TypeFor[Duration]()}
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return &json.UnmarshalTypeError{Value: text, Type: reflect.TypeFor[Duration]()}
	}
	*d = Duration(value)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Parse decodes and validates the document under the given key. The error
// satisfies errors.Is(err, errors.NotValid), or errors.NotFound if no document
// has that key.
func Parse(key string, body []byte) (doc Document, err error) {
	defer errors.DeferredAnnotatef(&err, "document %q", key)
	switch {
	case key == KeyDomains:
		return parseDocument[Domains](body)
	case key == KeyClasses:
		return parseDocument[Classes](body)
	case key == KeyMarks:
		return parseDocument[Marks](body)
	case strings.HasPrefix(key, KeyUpstreamsPrefix):
		d, err := parseDocument[Upstreams](body)
		d.Service = strings.TrimPrefix(key, KeyUpstreamsPrefix)
		return d, err
	case strings.HasPrefix(key, KeyVersionsPrefix):
		return parseVersions(strings.TrimPrefix(key, KeyVersionsPrefix), body)
	}
	return nil, errors.NotFoundf("key %q", key)
}

func parseVersions(service string, body []byte) (d Versions, err error) {
	d, err = parseDocument[Versions](body)
	if err != nil {
		return Versions{}, err
	}
	d.Service = service
	for _, v := range d.Versions {
		if err := validateDepots(v); err != nil {
			return Versions{}, err
		}
	}
	return d, nil
}

// validateDepots refuses a version that lists a depot in two shards.
func validateDepots(v Version) error {
	shardByDepot := make(map[string]string)
	for _, s := range v.Shards {
		for _, d := range s.Depots {
			if other, found := shardByDepot[d]; found {
				return errors.NotValidf("version %d: depot %q in both shard %q and shard %q", v.Number, d, other, s.Name)
			}
			shardByDepot[d] = s.Name
		}
	}
	return nil
}

func parseDocument[D Document](body []byte) (d D, err error) {
	if err := DecodeStrict(body, &d); err != nil {
		return d, err
	}
	return d, Validate(d)
}

// DecodeStrict decodes one JSON value and refuses unknown fields, fields that are
// given twice, deep nesting and trailing data. The error satisfies errors.Is(err, errors.NotValid).
func DecodeStrict(body []byte, target any) error {
	if err := checkShape(body, reflect.TypeOf(target)); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.NewNotValid(decodeError(err), "malformed JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.NotValidf("data after the JSON value")
	}
	return nil
}
