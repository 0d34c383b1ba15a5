package driftowner

import (
	"context"
	"testing"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// instantUpstream is a dialer and connection that answers at once.
type instantUpstream struct{}

// Dial implements driftupstream.Dialer.
func (instantUpstream) Dial(context.Context, drifttable.Upstream) (driftupstream.Conn, error) {
	return instantUpstream{}, nil
}

// Do implements driftupstream.Conn.
func (instantUpstream) Do(_ context.Context, r driftshard.Request) driftupstream.Reply {
	return driftupstream.Answer{Attempt: r.Attempt, Version: r.Version, Incarnation: 1}
}

// Close implements driftupstream.Conn.
func (instantUpstream) Close() error { return nil }

func BenchmarkHandle(b *testing.B) {
	r := driftshard.Request{
		Query: "q", Attempt: "q/1", Class: "counter", Upstream: "counter-1a", Version: 1,
		Deadline: time.Now().Add(time.Hour),
	}
	b.Run("bare", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			instantUpstream{}.Do(b.Context(), r)
		}
	})
	b.Run("owner", func(b *testing.B) {
		views := drifttable.NewViewHolder(drifttable.View{
			Self: "vm-1", BuiltAt: time.Now(),
			Upstreams: drifttable.NewTable(drifttable.Upstream{Name: "counter-1a", Slots: 4, MaxConnections: 35}),
			Owners:    drifttable.NewTable(drifttable.Owner{Upstream: "counter-1a", Name: "vm-1"}),
		})
		events := driftevent.NewLog("vm-1", 1)
		o := New(views, instantUpstream{}, nil, nil, events, driftcheck.NewChecker(events), WithMaxViewAge(time.Hour))
		b.ReportAllocs()
		for b.Loop() {
			o.Handle(b.Context(), r)
		}
	})
}
