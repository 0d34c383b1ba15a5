package driftplatform

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// FuzzVMList checks that a list of any bytes is an error or names VMs that are
// complete.
func FuzzVMList(f *testing.F) {
	f.Add([]byte(`[{"name":"vm-1","domain":"d","callers":"127.0.0.1:7000","peers":"127.0.0.1:7001"}]`))
	f.Add([]byte(`[7,null,{"name":7},{"name":"vm-1","domain":"d","callers":"h:7000","peers":"127.0.0.1:70001"}]`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		list, err := parseVMList(body)
		if err != nil {
			return
		}
		for _, vm := range list.VMs {
			assert.NotEmpty(t, vm.Name)
			assert.NotEmpty(t, vm.Domain)
			assert.NotEmpty(t, vm.Callers)
			assert.NotEmpty(t, vm.Peers)
		}
	})
}
