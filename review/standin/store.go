package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of a range or an event of a watch.
type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store: ranges, watches and
// the era, with all history kept.
type store struct {
	rec *record

	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
	down     bool
	// writers holds who wrote each item last.
	writers map[string]string
}

// pageSize is the number of items in a page of a range.
const pageSize = 500

func newStore(rec *record) *store {
	return &store{rec: rec, revision: 100, items: map[string]storeItem{}, changed: make(chan struct{}), writers: map[string]string{}}
}

func (s *store) serve(address string) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// put writes a value of the operator or of another writer.
func (s *store) put(key string, value any) bool { return s.putBy("", key, value) }

// writer returns who wrote the item last.
func (s *store) writer(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writers[key]
}

// putBy writes a value; the return is the confirmation. It reports false while
// the store is down.
func (s *store) putBy(writer, key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	created := s.revision
	if held, ok := s.items[key]; ok {
		created = held.Created
	}
	item := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.revision, Created: created}
	s.items[key], s.writers[key] = item, writer
	s.events = append(s.events, item)
	s.wake()
	s.rec.printf("store: revision %d: %s = %s", s.revision, key, data)
	return true
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok || s.down {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, storeItem{Key: key, Revision: s.revision, Removed: true})
	s.wake()
	s.rec.printf("store: revision %d: %s removed", s.revision, key)
}

// setDown makes the store refuse all calls with 503, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
	s.rec.printf("store: down = %v", down)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/v1/kv-watch":
		s.serveWatch(w, r, query.Get("prefix"), query.Get("after"), query.Get("waitMs"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var items []storeItem
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > pageSize
	if truncated {
		items = items[:pageSize]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": truncated, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix, afterText, waitText string) {
	after, _ := strconv.ParseInt(afterText, 10, 64)
	waitMs, _ := strconv.Atoi(waitText)
	end := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var events []storeItem
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		asOf, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": []storeItem{}, "asOf": asOf})
			return
		}
	}
}
