package driftsettings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
)

const validSettings = `{"name":"vm-1","domain":"Recife","callers":"127.0.0.1:1","peers":"127.0.0.1:2","ops":"127.0.0.1:3","platform":"127.0.0.1:4"}`

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm.json")
	require.NoError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	t.Run("a file with defaults", func(t *testing.T) {
		s, err := Load(path, Settings{})
		require.NoError(t, err)
		assert.Equal(t, "info", s.Log)
		assert.Equal(t, DefaultEntryListTTL, s.EntryListTTL)
	})
	t.Run("override takes precedence over the file", func(t *testing.T) {
		s, err := Load(path, Settings{Name: "vm-9", Log: "error"})
		require.NoError(t, err)
		assert.Equal(t, "vm-9", s.Name)
		assert.Equal(t, "error", s.Log)
		assert.Equal(t, "Recife", s.Domain)
	})
	t.Run("override is validated", func(t *testing.T) {
		_, err := Load(path, Settings{Ops: "nowhere"})
		assertField(t, err, "ops")
	})
	t.Run("without a file all required fields must be given", func(t *testing.T) {
		_, err := Load("", Settings{Name: "vm-1"})
		assertField(t, err, "domain")
	})
	t.Run("a missing file", func(t *testing.T) {
		_, err := Load(filepath.Join(t.TempDir(), "none"), Settings{})
		assert.ErrorIs(t, err, os.ErrNotExist)
	})
}

func assertField(t *testing.T, err error, field string) {
	t.Helper()
	var f driftdocument.FieldError
	require.ErrorAs(t, err, &f)
	assert.Equal(t, field, f.Field)
}

// FuzzSettings checks that any body is either refused as not valid, or parsed
// into settings that stay equal when they are encoded and parsed again.
func FuzzSettings(f *testing.F) {
	for _, seed := range []string{
		validSettings, `{}`, `null`, `{"name":1}`, `{"life":"1h"}`, `{"life":9}`, validSettings + validSettings, `{"weights":[]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := Parse(body)
		if err != nil {
			require.ErrorIs(t, err, errors.NotValid)
			return
		}
		again, err := json.Marshal(s)
		require.NoError(t, err)
		second, err := Parse(again)
		require.NoError(t, err)
		require.Equal(t, s, second)
	})
}
