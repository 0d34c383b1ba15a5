package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftsettings"
	"github.com/almonddrift/almonddrift/platform"
)

// Values of --key for settings files, which have no document key: the
// product's own settings, and those of the users' platform.
const (
	keySettings = "settings"
	keyPlatform = "platform"
)

// checkCommand validates a settings file or a document before it is used.
type checkCommand struct {
	File string `arg:"" help:"Settings or a document, as JSON, or settings of the platform, as TOML." type:"existingfile"`
	Key  string `help:"settings, or the key of the document. Without it the content tells."`
	JSON bool   `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (c *checkCommand) Help() string {
	return `Keys: settings, platform, domains, classes, marks, upstreams/SERVICE, versions/SERVICE.
Names the field, its value and what is allowed. Exits with 1 when the file is not valid.

Example: almonddrift check --key classes classes.json`
}

// checkResult is the outcome of a check.
type checkResult struct {
	File    string `json:"file"`
	Key     string `json:"key"`
	Valid   bool   `json:"valid"`
	Field   string `json:"field,omitempty"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed,omitempty"`
	Error   string `json:"error,omitempty"`
}

// Write implements textWriter.
func (v checkResult) Write(w io.Writer) error {
	text := fmt.Sprintf("%s: valid %s\n", v.File, v.Key)
	if !v.Valid {
		text = fmt.Sprintf("%s: not valid as %s\n", v.File, v.Key)
	}
	_, err := io.WriteString(w, text)
	return err
}

// Run implements the command.
func (c *checkCommand) Run(out *output) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	key := c.Key
	if key == "" {
		if key, err = detectKey(body); err != nil {
			return err
		}
	}
	failure := validate(key, body)
	if errors.Is(failure, errors.NotFound) {
		return fmt.Errorf("%w: --key: value %q is not valid (allowed: settings, platform, domains, classes, marks, "+
			"upstreams/SERVICE, versions/SERVICE)", errUsage, key)
	}
	if err := out.print(c.JSON, newCheckResult(c.File, key, failure)); err != nil {
		return err
	}
	return failure
}

// validate returns an error if body is not valid as the kind that key names. It
// is errors.NotFound if there is no such kind.
func validate(key string, body []byte) (err error) {
	switch key {
	case keySettings:
		_, err = driftsettings.Parse(body)
	case keyPlatform:
		_, err = platform.Parse(body)
	default:
		_, err = driftdocument.Parse(key, body)
	}
	return err
}

func newCheckResult(file, key string, failure error) checkResult {
	v := checkResult{File: file, Key: key, Valid: failure == nil}
	if failure == nil {
		return v
	}
	v.Error = failure.Error()
	var field driftdocument.FieldError
	if errors.As(failure, &field) {
		v.Field, v.Value, v.Allowed = field.Field, field.Value, field.Allowed
	}
	return v
}

// documentFields holds the top-level fields by which detectKey tells the kinds
// of files apart.
type documentFields struct {
	Platform  json.RawMessage `json:"platform"`
	Callers   json.RawMessage `json:"callers"`
	Classes   json.RawMessage `json:"classes"`
	Upstreams json.RawMessage `json:"upstreams"`
	Versions  json.RawMessage `json:"versions"`
	VMs       json.RawMessage `json:"vms"`
	Domains   json.RawMessage `json:"domains"`
}

// detectKey derives the key of a file from its top-level fields.
func detectKey(body []byte) (key string, err error) {
	var fields documentFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return "", errors.Annotate(err, "cannot detect the kind of file (use --key)")
	}
	switch {
	case fields.Platform != nil || fields.Callers != nil:
		return keySettings, nil
	case fields.Classes != nil:
		return driftdocument.KeyClasses, nil
	case fields.Upstreams != nil:
		return driftdocument.KeyUpstreamsPrefix + "service", nil
	case fields.Versions != nil:
		return driftdocument.KeyVersionsPrefix + "service", nil
	case fields.Domains != nil && strings.Contains(string(fields.Domains), "{"):
		return driftdocument.KeyDomains, nil
	case fields.VMs != nil || fields.Domains != nil:
		return driftdocument.KeyMarks, nil
	}
	return "", errors.New("cannot detect the kind of file from its fields; use --key")
}
