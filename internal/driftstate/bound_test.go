package driftstate

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestConfirmedStateWithinBound checks that the state of a VM that reads a quiet
// platform is confirmed within the bound on changes, whatever it is.
func TestConfirmedStateWithinBound(t *testing.T) {
	for _, bound := range []time.Duration{0, time.Second, 2 * time.Second, configBound, time.Minute} {
		t.Run(fmt.Sprint(bound), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &fakeSource{}
				source.publish(1)
				replica := NewReplica()
				reader := NewReader(replica, source, fakeFleet{reads: true})
				reader.SetConfigBound(bound)
				ctx, cancel := context.WithCancel(t.Context())
				go reader.Run(ctx)
				time.Sleep(5 * time.Second)
				limit := min(bound, configBound)
				if bound == 0 {
					limit = configBound
				}
				for range 600 {
					time.Sleep(100 * time.Millisecond)
					_, confirmed := replica.Revision()
					assert.LessOrEqual(t, time.Since(confirmed), limit)
				}
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}
