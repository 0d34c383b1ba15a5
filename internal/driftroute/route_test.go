package driftroute

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFind(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			route, ok := table.Find(c.host, c.path)
			assert.Equal(t, c.want != "", ok)
			if ok {
				assert.Equal(t, c.want, route.Name)
			}
		})
	}
}

// TestWeightedRoundRobin checks the published bound: the shares over any 50
// requests deviate by at most 0.1 from the weights.
func TestWeightedRoundRobin(t *testing.T) {
	roundRobin := NewWeightedRoundRobin()
	split := Split{Services: []WeightedService{{"a", 0.7}, {"b", 0.25}, {"c", 0.05}, {"d", 0}}}
	for range 20 {
		counts := make(map[string]float64)
		for range 50 {
			counts[roundRobin.Next("r", split)]++
		}
		for _, p := range split.Services {
			assert.InDelta(t, p.Weight, counts[p.Service]/50, 0.1, p.Service)
		}
	}
	assert.Empty(t, roundRobin.Next("r", Split{}))
}
