package driftcontrol

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Times and sizes of the configuration readers.
const (
	// minRetryDelay is the pause after a failed read. It doubles up to
	// maxRetryDelay. After a read that found no value the pause is a quarter of
	// maxRetryDelay.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// watchTimeout is how long a watch may wait before it is restarted.
	watchTimeout = 30 * time.Second
	// readersPerKey is how many VMs of a domain watch a key.
	readersPerKey = 2
	// fallbackAfter is the age of the configuration at which a VM that is not a
	// reader reads the service directly, after a further random wait of up to
	// the same time.
	fallbackAfter = 40 * time.Second
)

// reader follows one key at the configuration service while this VM is one of
// the key's readers.
type reader struct {
	cancel context.CancelFunc
}

// updateReaders starts and stops the readers of this VM. A new VM reads every
// key once, even a key that it is not a reader of.
func (c *Control) updateReaders(ctx context.Context, group *errgroup.Group, now time.Time) {
	fallbackReadDue := c.fallbackReadDue(now)
	candidates := c.readerVMs()
	for _, key := range c.documents.keys() {
		running, found := c.readers[key]
		wanted := slices.Contains(drifttable.Rank(key, candidates)[:min(len(candidates), readersPerKey)], c.self.Name)
		switch {
		case wanted && !found:
			c.startReader(ctx, group, key)
		case !wanted && found:
			running.cancel()
			delete(c.readers, key)
		case !wanted && (fallbackReadDue || !c.initialReads[key]):
			c.initialReads[key] = true
			c.readKey(ctx, group, key)
		}
	}
}

// fallbackReadDue reports whether the configuration is so old that this VM
// reads the service directly, and schedules the next such read.
func (c *Control) fallbackReadDue(now time.Time) bool {
	if c.fallbackDue.IsZero() || now.Sub(c.lastConfigContact) < fallbackAfter {
		wait := fallbackAfter + time.Duration(c.random.Int64N(int64(fallbackAfter)))
		c.fallbackDue = now.Add(wait)
		return false
	}
	if now.Before(c.fallbackDue) {
		return false
	}
	c.fallbackDue = time.Time{}
	return true
}

// readerVMs returns the VMs that the readers of this domain are chosen from.
func (c *Control) readerVMs() []string {
	var names []string
	for _, name := range c.domainVMs(c.self.Domain) {
		m := c.members.rows[name]
		if m.vm.Health == drifttable.Alive || name == c.self.Name {
			names = append(names, name)
		}
	}
	return names
}

func (c *Control) startReader(ctx context.Context, group *errgroup.Group, key string) {
	ctx, cancel := context.WithCancel(ctx)
	c.readers[key] = reader{cancel: cancel}
	held := c.documents.highestSeen(key)
	group.Go(func() error {
		defer cancel()
		c.watch(ctx, key, held)
		return nil
	})
}

// readKey reads a key once.
func (c *Control) readKey(ctx context.Context, group *errgroup.Group, key string) {
	group.Go(func() error {
		c.sendReadResult(ctx, key, c.config.Read(ctx, key))
		return nil
	})
}

// watch follows one key until ctx ends.
func (c *Control) watch(ctx context.Context, key string, held uint64) {
	for ctx.Err() == nil {
		result := c.watchOnce(ctx, key, held)
		if ctx.Err() != nil {
			return
		}
		c.sendReadResult(ctx, key, result)
		switch r := result.(type) {
		case driftplatform.Found:
			held = max(held, r.Value.Revision)
			c.backoff.reset()
		case driftplatform.Unchanged:
			c.backoff.reset()
		case driftplatform.Absent:
			c.backoff.reset()
			sleep(ctx, maxRetryDelay/4)
		case driftplatform.Unavailable:
			c.backoff.wait(ctx)
		}
	}
}

func (c *Control) watchOnce(ctx context.Context, key string, held uint64) driftplatform.ConfigResult {
	if held == 0 {
		return c.config.Read(ctx, key)
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return c.config.Watch(ctx, key, held)
}

// sendReadResult sends the result of a read to the control goroutine.
func (c *Control) sendReadResult(ctx context.Context, key string, result driftplatform.ConfigResult) {
	switch r := result.(type) {
	case driftplatform.Found:
		c.sendMessage(ctx, documentRead{parsed: parseDocument(r.Value)})
	case driftplatform.Unchanged, driftplatform.Absent:
		c.sendMessage(ctx, serviceAnswered{})
	case driftplatform.Unavailable:
		c.sendMessage(ctx, configUnavailable{key: key, err: r.Err})
	}
}

// handleDocumentRead applies a value that the service has returned.
func (c *Control) handleDocumentRead(ctx context.Context, p parsedDocument, now time.Time) {
	c.recordConfigContact(now)
	held := c.documents.revisionNumber(p.value.Key)
	if p.value.Revision < held {
		c.events.Record(driftevent.ConfigStale, "", p.value.Key,
			"service has "+revisionText(p.value.Revision)+", held "+revisionText(held))
	}
	if c.applyDocument(p) {
		c.pushDocument(ctx, p.value)
	}
}

// backoff spaces out the reads of this VM while the service is down. The delay
// grows exponentially and is shared by all readers.
type backoff struct {
	mu    sync.Mutex
	pause time.Duration
	next  time.Time
}

// wait blocks until the reader may read again.
func (o *backoff) wait(ctx context.Context) {
	o.mu.Lock()
	now := time.Now()
	if now.After(o.next) {
		o.pause = min(max(2*o.pause, minRetryDelay), maxRetryDelay)
		o.next = now.Add(o.pause)
	}
	pause := o.next.Sub(now)
	o.mu.Unlock()
	sleep(ctx, pause+rand.N(minRetryDelay))
}

// reset ends the backoff after the service has answered.
func (o *backoff) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pause = 0
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
