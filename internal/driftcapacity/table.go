package driftcapacity

import (
	"fmt"
	"io"

	"github.com/juju/errors"
)

// The full size: the load that the users expect within two years.
const (
	vms              = 8800
	upstreams        = 91000
	domains          = 19
	queriesPerSecond = 2.6e6
	shardsPerQuery   = 92
	services         = (upstreams + maxUpstreamsPerService - 1) / maxUpstreamsPerService

	// maxUpstreamsPerService limits the upstreams in one service's document.
	maxUpstreamsPerService = 4000

	vmsPerDomain       = float64(vms) / domains
	upstreamsPerVM     = float64(upstreams) / vms
	queriesPerVM       = queriesPerSecond / vms
	shardRequestsPerVM = queriesPerVM * shardsPerQuery
	changesPerDay      = 12000
	changesPerSecond   = changesPerDay / 86400.0
)

// Limits for the control role of one node, and for the configuration service.
const (
	maxProcessorTime = 20      // ms per second: 2% of a core
	maxMemory        = 128     // MB
	maxTraffic       = 3000    // bytes per second
	maxReads         = 2000    // reads per second
	maxValueBytes    = 1 << 20 // bytes
)

// Row is one row of the capacity table. Limit is 0 where there is no limit.
// Mechanism is the part of the design that the quantity depends on.
type Row struct {
	Role, Quantity, Slope string
	// Size is the size at which the slope is evaluated. Factor multiplies that
	// value.
	Size, Factor, Limit float64
	Unit, Mechanism     string
}

// Rows returns the rows of the table.
func Rows() []Row {
	return append(controlRows(), trafficRows()...)
}

func controlRows() []Row {
	const members = "a ring of probes inside the domain"
	const view = "tables rebuilt only where a document changed"
	return []Row{
		{"control", "processor, probes and ticks", "fleet.processor", vmsPerDomain, 1, maxProcessorTime, "ms/s", members},
		{"control", "processor, whole view without changes", "view.processor", upstreams, 1, maxProcessorTime, "ms/s", view},
		{"control", "processor, changes of configuration", "view.change", upstreams, changesPerSecond, maxProcessorTime, "ms/s", view},
		{"control", "memory, members of the domain", "fleet.memory", vmsPerDomain, 1, maxMemory, "MB", members},
		{"control", "memory, whole view", "view.memory", upstreams, 1, maxMemory, "MB", view},
		{"control", "messages sent", "fleet.messages", vmsPerDomain, 1, 0, "messages/s", members},
		{"control", "bytes sent", "fleet.bytes", vmsPerDomain, 1, maxTraffic, "bytes/s", members},
		{"control", "bytes read, VM list every 30 s", "document.list", vms, 1.0 / 30, maxTraffic, "bytes/s", "each VM reads the whole list, less often in a large fleet"},
		{"configuration reader", "reads, one service", "fleet.reads", vmsPerDomain, domains / 2.0, maxReads, "reads/s", "two readers a key and domain"},
		{"configuration reader", "reads, all services (keys grow, upper bound)", "fleet.reads", vmsPerDomain, domains / 2.0 * (3 + 2*services) / 5, maxReads, "reads/s", "two readers a key and domain"},
		{"configuration reader", "largest value, upstreams of a service", "document.upstreams", maxUpstreamsPerService, 1, maxValueBytes, "bytes", "one key a service"},
	}
}

func trafficRows() []Row {
	const local = "one goroutine a shard request"
	return []Row{
		{"front and owner", "processor without sockets", "query.processor", shardsPerQuery, queriesPerVM / 1e6, 0, "cores", local},
		{"front and owner", "processor with sockets, both VMs and the stand-in", "shard.processor", 10, shardsPerQuery / 10.0 * queriesPerVM / 1e6, 0, "cores", "shard requests over shared connections"},
		{"owner", "memory of lanes", "owner.memory", upstreamsPerVM, 1.0 / 1024, 0, "MB", "one lane an owned upstream"},
		{"front", "shard requests", "", 0, shardRequestsPerVM, 0, "requests/s", "scatter to owners"},
		{"steer", "processor a list", "steer.processor", vms, 1e-3, 0, "ms", "VMs ranked for every caller"},
		{"steer", "bytes a list", "steer.bytes", vms, 1.0 / 1024, 0, "KB", "a list of bounded length"},
		{"caller library", "state, and bytes in 10 s", "steer.bytes", vms, 1.0 / 1024, 0, "KB", "a list of bounded length"},
		{"every role", "memory of the time line", "events.memory", 4096, 1, 0, "MB", "a ring of 4,096 events"},
	}
}

// Value returns the row's value and its slope. A row without a slope has the
// value of its factor.
func (r Row) Value(slopes Slopes) (value float64, slope Slope, err error) {
	if r.Slope == "" {
		return r.Factor, Slope{}, nil
	}
	slope, found := slopes.Get(r.Slope)
	if !found {
		return 0, Slope{}, errors.NotFoundf("slope %q", r.Slope)
	}
	return slope.ValueAt(r.Size) * r.Factor, slope, nil
}

// Print writes the capacity table as Markdown.
func Print(w io.Writer) (err error) {
	defer errors.DeferredAnnotatef(&err, "capacity table")
	slopes, err := MeasuredSlopes()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "Full size a VM: %.1f VMs a domain, %.2f owned upstreams, %.0f queries/s, %.0f shard requests/s.\n\n"+
		"| role | quantity | at full size | limit | | slope, sizes measured, spread | carried by |\n|---|---|---|---|---|---|---|\n",
		vmsPerDomain, upstreamsPerVM, queriesPerVM, shardRequestsPerVM); err != nil {
		return err
	}
	for _, r := range Rows() {
		if _, err := fmt.Fprintln(w, r.line(slopes)); err != nil {
			return err
		}
	}
	return nil
}

func (r Row) line(slopes Slopes) string {
	value, slope, err := r.Value(slopes)
	if err != nil {
		return fmt.Sprintf("| %s | %s | not measured | | | %s | %s |", r.Role, r.Quantity, r.Slope, r.Mechanism)
	}
	limit, verdict := "", ""
	if r.Limit > 0 {
		limit, verdict = fmt.Sprintf("%.6g %s", r.Limit, r.Unit), "holds"
		if value > r.Limit {
			verdict = "**misses**"
		}
	}
	return fmt.Sprintf("| %s | %s | %.3g %s | %s | %s | %s | %s |",
		r.Role, r.Quantity, value, r.Unit, limit, verdict, slope.describeFit(), r.Mechanism)
}

func (s Slope) describeFit() string {
	if s.Name == "" {
		return "by division"
	}
	intercept, gradient := s.FitLine()
	sizes := ""
	for i, p := range s.Points {
		if i > 0 {
			sizes += ", "
		}
		sizes += fmt.Sprintf("%g", p.Size)
	}
	return fmt.Sprintf("%s: %.3g + %.3g × %s, at %s, ±%.0f%%", s.Name, intercept, gradient, s.Per, sizes, 100*s.Spread())
}
