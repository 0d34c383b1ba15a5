package driftclient

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Timing of list renewals.
const (
	// fetchTimeout bounds the request for the list to one VM.
	fetchTimeout = time.Second
	// renewalRetryDelay is the delay after a renewal that no VM answered.
	renewalRetryDelay = time.Second
)

// entryList returns the entry VMs to use. It waits only while there are none; a
// list that is about to expire is renewed in the background.
func (c *Client) entryList(ctx context.Context) []driftapi.Entry {
	c.mu.Lock()
	if time.Now().After(c.renewAt) && c.renewing == nil {
		c.renewing = make(chan struct{})
		go c.renew(context.WithoutCancel(ctx), c.renewing)
	}
	entries, renewing := slices.Clone(c.entries), c.renewing
	c.mu.Unlock()
	if len(entries) > 0 || renewing == nil {
		return entries
	}
	select {
	case <-renewing:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.entries)
}

// renew fetches a new list from the first known VM that returns one.
func (c *Client) renew(ctx context.Context, done chan struct{}) {
	defer close(done)
	list, err := c.fetchEntriesFromAny(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewing = nil
	if err != nil {
		c.renewAt = time.Now().Add(renewalRetryDelay)
		if len(c.entries) == 0 {
			c.renewAt = time.Time{}
		}
		return
	}
	c.entries = list.Entries
	c.renewAt = time.Now().Add(renewAfter(list.Life))
}

// renewAfter returns the time until a list with the given life in milliseconds
// is renewed: well before it expires, and at a random time so that callers do
// not all renew at once.
func renewAfter(life int64) time.Duration {
	fraction := 0.5 + 0.25*rand.Float64()
	return time.Duration(fraction * float64(life) * float64(time.Millisecond))
}

func (c *Client) fetchEntriesFromAny(ctx context.Context) (list driftapi.Entries, err error) {
	err = errors.NotFoundf("entry VM")
	for _, address := range c.knownAddresses() {
		if list, err = c.fetchEntries(ctx, address); err == nil && len(list.Entries) > 0 {
			return list, nil
		}
	}
	if err == nil {
		err = errors.NotFoundf("entry VM in service")
	}
	return list, err
}

// knownAddresses returns the addresses to fetch the list from: those of the
// last list, then the seeds.
func (c *Client) knownAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var knownAddresses []string
	for _, e := range c.entries {
		knownAddresses = append(knownAddresses, e.Address)
	}
	return append(knownAddresses, c.seeds...)
}

// demote moves a VM that gave no answer to the end of the list and makes the
// next query renew the list.
func (c *Client) demote(e driftapi.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.entries, e)
	if i < 0 || i == len(c.entries)-1 {
		return
	}
	c.entries = append(slices.Delete(slices.Clone(c.entries), i, i+1), e)
	c.renewAt = time.Time{}
}

func (c *Client) fetchEntries(ctx context.Context, address string) (list driftapi.Entries, err error) {
	defer errors.DeferredAnnotatef(&err, "fetching entry VMs from %s", address)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	values := url.Values{"caller": {c.caller}, "domain": {c.domain}}
	target := "http://" + address + driftapi.PathEntries + "?" + values.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return list, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return list, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("unexpected HTTP status %d", resp.StatusCode)
	}
	return list, json.NewDecoder(resp.Body).Decode(&list)
}
