package driftfake

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftplatform"
)

// errDown is returned by a platform that is down.
var errDown = errors.New("platform is down")

// maxWatchWait bounds how long a watch waits for a change.
const maxWatchWait = 20 * time.Second

// Platform is a fake of the configuration service and the VM list. It
// implements driftplatform.Config and driftplatform.Lister, and serves the
// protocol of docs/PLATFORM.md as an http.Handler. It is safe for concurrent use.
type Platform struct {
	mu          sync.Mutex
	values      map[string]driftplatform.Value
	staleValues map[string]driftplatform.Value
	vms         []driftplatform.ListedVM
	listLag     time.Duration
	down        bool
	changed     chan struct{}
	reads       int
}

// NewPlatform returns a platform without values or VMs.
func NewPlatform() *Platform {
	return &Platform{
		values:  make(map[string]driftplatform.Value),
		changed: make(chan struct{}),
	}
}

// Put publishes a document under the key and returns its revision.
func (p *Platform) Put(key string, document any) uint64 {
	body, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return p.PutRaw(key, body)
}

// PutRaw publishes bytes under the key and returns their revision.
func (p *Platform) PutRaw(key string, body []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	number := p.values[key].Revision + 1
	p.values[key] = driftplatform.Value{Key: key, Revision: number, Body: body}
	p.notifyWatches()
	return number
}

// Revision returns the newest revision of a key, 0 when it has none.
func (p *Platform) Revision(key string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[key].Revision
}

// SetDown sets whether the configuration service and the VM list fail.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// SetStale makes the configuration service keep answering with its current
// values, whatever is published later, until it is called with false.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleValues = nil
	if stale {
		p.staleValues = make(map[string]driftplatform.Value)
		for k, v := range p.values {
			p.staleValues[k] = v
		}
	}
	p.notifyWatches()
}

// SetStaleAt does the same as SetStale(true), and reports the given older
// revision for the value of the key.
func (p *Platform) SetStaleAt(key string, number uint64) {
	p.SetStale(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.staleValues[key]
	old.Revision = number
	p.staleValues[key] = old
}

// SetListLag sets the delay after which changes of the VM list become visible.
func (p *Platform) SetListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listLag = lag
}

// SetVMs publishes the VM list after the delay of SetListLag.
func (p *Platform) SetVMs(vms ...driftplatform.ListedVM) {
	p.mu.Lock()
	lag := p.listLag
	p.mu.Unlock()
	vms = slices.Clone(vms)
	if lag == 0 {
		p.publishVMs(vms)
		return
	}
	time.AfterFunc(lag, func() { p.publishVMs(vms) })
}

func (p *Platform) publishVMs(vms []driftplatform.ListedVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// Reads returns the number of calls to the configuration service.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// notifyWatches wakes the waiting watches. The caller holds the lock.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Read implements driftplatform.Config.
func (p *Platform) Read(_ context.Context, key string) driftplatform.ConfigResult {
	result, _ := p.lookUp(key, 0, true)
	return result
}

// Watch implements driftplatform.Config.
func (p *Platform) Watch(ctx context.Context, key string, after uint64) driftplatform.ConfigResult {
	ctx, cancel := context.WithTimeout(ctx, maxWatchWait)
	defer cancel()
	for first := true; ; first = false {
		result, changed := p.lookUp(key, after, first)
		if _, unchanged := result.(driftplatform.Unchanged); !unchanged {
			return result
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return driftplatform.Unchanged{}
		}
	}
}

// lookUp returns the value if its revision is newer than after, and a channel
// that is closed at the next change. It counts the call as a read if count is
// set.
func (p *Platform) lookUp(key string, after uint64, count bool) (driftplatform.ConfigResult, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if count {
		p.reads++
	}
	if p.down {
		return driftplatform.Unavailable{Err: errDown}, p.changed
	}
	values := p.values
	if p.staleValues != nil {
		values = p.staleValues
	}
	value, found := values[key]
	switch {
	case !found:
		return driftplatform.Absent{}, p.changed
	case value.Revision <= after:
		return driftplatform.Unchanged{}, p.changed
	}
	return driftplatform.Found{Value: value}, p.changed
}

// List implements driftplatform.Lister.
func (p *Platform) List(context.Context) driftplatform.VMListResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return driftplatform.VMListUnavailable{Err: errDown}
	}
	return driftplatform.VMList{VMs: slices.Clone(p.vms)}
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/vms" {
		p.serveList(w, r)
		return
	}
	key := strings.TrimPrefix(r.URL.Path, "/v1/values/")
	var result driftplatform.ConfigResult
	if after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64); err == nil {
		result = p.Watch(r.Context(), key, after)
	} else {
		result = p.Read(r.Context(), key)
	}
	writeValue(w, result)
}

func writeValue(w http.ResponseWriter, result driftplatform.ConfigResult) {
	switch result := result.(type) {
	case driftplatform.Found:
		w.Header().Set("Drift-Revision", strconv.FormatUint(result.Value.Revision, 10))
		_, _ = w.Write(result.Value.Body)
	case driftplatform.Unchanged:
		w.WriteHeader(http.StatusNoContent)
	case driftplatform.Absent:
		w.WriteHeader(http.StatusNotFound)
	case driftplatform.Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	listed, ok := p.List(r.Context()).(driftplatform.VMList)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(listed.VMs)
}
