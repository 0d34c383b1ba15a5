package driftplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
)

// Parts of the platform's protocol.
const (
	// maxValueBytes is the largest accepted size of a response body.
	maxValueBytes = 1 << 20
	// revisionHeader carries the revision of a value.
	revisionHeader = "Drift-Revision"
)

// HTTPPlatform reads the platform over HTTP, as described in docs/PLATFORM.md.
// It implements Config and Lister.
type HTTPPlatform struct {
	base   string
	client *http.Client
}

// NewHTTPPlatform returns an adapter for the platform at base, such as
// "http://127.0.0.1:7000".
func NewHTTPPlatform(base string, client *http.Client) *HTTPPlatform {
	return &HTTPPlatform{base: base, client: client}
}

// Read implements Config.
func (p *HTTPPlatform) Read(ctx context.Context, key string) ConfigResult {
	return p.fetchValue(ctx, key, "")
}

// Watch implements Config.
func (p *HTTPPlatform) Watch(ctx context.Context, key string, after uint64) ConfigResult {
	return p.fetchValue(ctx, key, "?after="+strconv.FormatUint(after, 10))
}

func (p *HTTPPlatform) fetchValue(ctx context.Context, key, query string) ConfigResult {
	resp, err := p.get(ctx, "/v1/values/"+url.PathEscape(key)+query)
	if err != nil {
		return Unavailable{Err: err}
	}
	defer closeBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
		return parseValue(key, resp)
	case http.StatusNoContent:
		return Unchanged{}
	case http.StatusNotFound:
		return Absent{}
	}
	return Unavailable{Err: errors.Errorf("key %q: status %d", key, resp.StatusCode)}
}

func parseValue(key string, resp *http.Response) ConfigResult {
	number, err := strconv.ParseUint(resp.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return Unavailable{Err: errors.Annotatef(err, "key %q: invalid revision header", key)}
	}
	body, err := readLimited(resp.Body)
	if err != nil {
		return Unavailable{Err: errors.Annotatef(err, "key %q", key)}
	}
	return Found{Value: Value{Key: key, Revision: number, Body: body}}
}

// List implements Lister.
func (p *HTTPPlatform) List(ctx context.Context) VMListResult {
	list, err := p.fetchVMs(ctx)
	if err != nil {
		return VMListUnavailable{Err: err}
	}
	return list
}

func (p *HTTPPlatform) fetchVMs(ctx context.Context) (list VMList, err error) {
	defer errors.DeferredAnnotatef(&err, "reading the VM list")
	resp, err := p.get(ctx, "/v1/vms")
	if err != nil {
		return list, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("status %d", resp.StatusCode)
	}
	body, err := readLimited(resp.Body)
	if err != nil {
		return list, err
	}
	return parseVMList(body)
}

// parseVMList decodes each entry for itself, so that one that another writer has
// left does not hide the others.
func parseVMList(body []byte) (list VMList, err error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(body, &entries); err != nil {
		return list, err
	}
	for _, entry := range entries {
		var vm ListedVM
		if err := driftdocument.DecodeRecord(entry, &vm); err != nil {
			list.Refused = append(list.Refused, err)
			continue
		}
		list.VMs = append(list.VMs, vm)
	}
	return list, nil
}

func (p *HTTPPlatform) get(ctx context.Context, path string) (resp *http.Response, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.base+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	return p.client.Do(req)
}

func readLimited(r io.Reader) (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(r, maxValueBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxValueBytes {
		return nil, fmt.Errorf("response body exceeds %d bytes", maxValueBytes)
	}
	return body, nil
}

func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxValueBytes))
	_ = resp.Body.Close()
}
