package driftplatform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOddVMHidTheList guards against one entry of the VM list that cannot be read
// failing the whole list, or naming a VM.
func TestOddVMHidTheList(t *testing.T) {
	const good = `{"name":"vm-1","domain":"d","callers":"127.0.0.1:7000","peers":"127.0.0.1:7001"}`
	deep := strings.Repeat("[", 5000) + strings.Repeat("]", 5000)
	for name, odd := range map[string]string{
		"a number":         `7`,
		"null":             `null`,
		"a list":           `[]`,
		"deep":             deep,
		"nested field":     `{"name":` + deep + `}`,
		"no name":          strings.Replace(good, `"name":"vm-1",`, "", 1),
		"name is a number": strings.Replace(good, `"vm-1"`, "1", 1),
		"no domain":        strings.Replace(good, `"domain":"d",`, "", 1),
		"port too large":   strings.Replace(good, "7001", "70001", 1),
		"a host name":      strings.Replace(good, "127.0.0.1:7000", "host:7000", 1),
		"a field twice":    strings.Replace(good, "{", `{"name":"vm-2",`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("[" + odd + "," + good + "]"))
			}))
			defer server.Close()
			list, ok := NewHTTPPlatform(server.URL, server.Client()).List(t.Context()).(VMList)
			require.True(t, ok)
			require.Len(t, list.VMs, 1)
			assert.Equal(t, "vm-1", list.VMs[0].Name)
			require.Len(t, list.Refused, 1)
			assert.LessOrEqual(t, len(list.Refused[0].Error()), 512)
		})
	}
}
