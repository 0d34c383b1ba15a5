// Package driftevent records what a VM does as numbered events in a bounded
// ring buffer, from which the timeline of all VMs is gathered, and as log
// lines.
//
// Every event has a Code. The catalogue in catalogue.go gives each code its
// name and severity, and docs/EVENTS.md explains them to operators. A test
// checks that the two agree.
//
// # Usage
//
//	log := driftevent.NewLog("vm-1", incarnation, driftevent.WithLogger(logger))
//	log.Record(driftevent.QueryRefused, request, "vm-1", "reason full")
//	for _, e := range log.Events() {
//		fmt.Println(e.Sequence, e.Code)
//	}
package driftevent

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is one action or observation of a VM.
type Event struct {
	VM          string    `json:"vm"`
	Incarnation uint64    `json:"boot"`
	Sequence    uint64    `json:"sequence"`
	Time        time.Time `json:"time"`
	Code        Code      `json:"code"`
	Name        string    `json:"name"`
	// Request is the caller's request id. It is empty outside of a query.
	Request string `json:"request,omitempty"`
	// Subject is the VM, upstream, class or document that the event concerns.
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Recorder records events. Production code uses Log.
type Recorder interface {
	Record(code Code, request, subject, detail string)
}

// Log keeps the newest events of one VM. It is safe for concurrent use.
type Log struct {
	vm          string
	incarnation uint64
	logger      logrus.FieldLogger
	capacity    int

	mu     sync.Mutex
	ring   []Event
	next   uint64
	counts [codeCount]uint64
}

// defaultCapacity is the number of events kept without WithSize.
const defaultCapacity = 4096

// Option configures a Log.
type Option func(*Log)

// WithSize sets the number of events that the log keeps.
func WithSize(events int) Option {
	return func(l *Log) { l.capacity = events }
}

// WithLogger also writes all events above trace severity to the logger.
func WithLogger(logger logrus.FieldLogger) Option {
	return func(l *Log) { l.logger = logger }
}

// NewLog returns an empty log for the given VM and incarnation.
func NewLog(vm string, incarnation uint64, opts ...Option) *Log {
	l := &Log{vm: vm, incarnation: incarnation, capacity: defaultCapacity}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Record adds an event, dropping the oldest one when the ring is full.
func (l *Log) Record(code Code, request, subject, detail string) {
	e := Event{
		VM: l.vm, Incarnation: l.incarnation, Time: time.Now(), Code: code, Name: code.Name(),
		Request: request, Subject: subject, Detail: detail,
	}
	l.add(&e)
	l.write(e)
}

func (l *Log) add(e *Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Sequence = l.next
	l.next++
	if int(e.Code) < len(l.counts) {
		l.counts[e.Code]++
	}
	if len(l.ring) < l.capacity {
		l.ring = append(l.ring, *e)
		return
	}
	l.ring[e.Sequence%uint64(l.capacity)] = *e
}

func (l *Log) write(e Event) {
	severity := e.Code.severity()
	if l.logger == nil || severity == severityTrace {
		return
	}
	entry := l.logger.WithFields(logrus.Fields{
		"event": int(e.Code), "name": e.Name, "vm": e.VM, "boot": e.Incarnation,
		"sequence": e.Sequence, "request": e.Request, "subject": e.Subject,
	})
	switch severity {
	case severityError:
		entry.Error(e.Detail)
	case severityWarning:
		entry.Warn(e.Detail)
	default:
		entry.Info(e.Detail)
	}
}

// Events returns the events in the ring, oldest first.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < l.capacity {
		return append([]Event(nil), l.ring...)
	}
	start := l.next % uint64(l.capacity)
	ordered := append([]Event(nil), l.ring[start:]...)
	return append(ordered, l.ring[:start]...)
}

// Count returns how often the code has been recorded since the VM started.
func (l *Log) Count(code Code) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[code]
}
