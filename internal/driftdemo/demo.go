// Package driftdemo runs a whole small fleet in one process: a stand-in
// platform, stand-in upstreams on loopback, and the VMs of the system over
// their real listeners.
//
// # Usage
//
//	demo := driftdemo.New(driftfake.Oshana())
//	err := demo.Start(ctx)
//	defer demo.Stop(ctx)
//	client := driftclient.New(demo.Entries())
package driftdemo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/driftserve"
	"github.com/almonddrift/almonddrift/internal/driftsettings"
)

// vmCount is the number of entry VMs a user has.
const vmCount = 8

// anyPort lets the operating system choose a port on loopback.
const anyPort = "127.0.0.1:0"

// Demo is a fleet in one process.
type Demo struct {
	size      driftfake.Size
	logger    *logrus.Logger
	platform  *driftfake.Platform
	upstreams []*driftfake.Upstream
	servers   []*http.Server
	addresses map[string]string
	processes []*driftserve.Process
}

// New returns a demo of the given size.
func New(size driftfake.Size) *Demo {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &Demo{
		size: size, logger: logger, platform: driftfake.NewPlatform(),
		upstreams: size.Upstreams(1), addresses: make(map[string]string),
	}
}

// Start starts the stand-ins and the VMs, and waits until all are ready.
func (d *Demo) Start(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "starting the demo")
	for _, u := range d.upstreams {
		address, err := d.serve(ctx, u, u.ConnState)
		if err != nil {
			return err
		}
		d.addresses[u.Name] = address
	}
	d.publish()
	platform, err := d.serve(ctx, d.platform, nil)
	if err != nil {
		return err
	}
	if err := d.startVMs(ctx, platform); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

// serve runs a stand-in on loopback and returns its address.
func (d *Demo) serve(ctx context.Context, handler http.Handler, state func(net.Conn, http.ConnState)) (string, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", anyPort)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ConnState: state, ReadHeaderTimeout: time.Second}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *Demo) publish() {
	d.platform.Put(driftdocument.KeyDomains, d.size.DomainsDocument())
	d.platform.Put(driftdocument.KeyClasses, d.size.ClassesDocument())
	d.platform.Put(driftdocument.KeyMarks, driftdocument.Marks{})
	d.platform.Put(driftdocument.KeyUpstreamsPrefix+d.size.Service,
		d.size.UpstreamsDocument(func(name string) string { return d.addresses[name] }))
	d.platform.Put(driftdocument.KeyVersionsPrefix+d.size.Service, d.size.VersionsDocument(1))
}

func (d *Demo) startVMs(ctx context.Context, platform string) error {
	var listed []driftplatform.ListedVM
	for i := range vmCount {
		settings := driftsettings.Settings{
			Name: fmt.Sprintf("vm-%d", i+1), Domain: d.size.Domains[i%len(d.size.Domains)],
			Callers: anyPort, Peers: anyPort, Ops: anyPort, Platform: platform,
			Life: driftdocument.Duration(time.Second),
		}
		p := driftserve.New(settings, driftserve.WithLogger(d.logger))
		if err := p.Listen(ctx); err != nil {
			return err
		}
		d.processes = append(d.processes, p)
		a := p.Addresses()
		listed = append(listed, driftplatform.ListedVM{
			Name: settings.Name, Domain: settings.Domain, Callers: a.Callers, Peers: a.Peers,
		})
	}
	d.platform.SetVMs(listed...)
	for _, p := range d.processes {
		if err := p.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until every VM says that it is ready.
func (d *Demo) waitReady(ctx context.Context) error {
	for _, p := range d.processes {
		for !ready(ctx, p.Addresses().Ops) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// Entries returns the addresses that callers may connect to.
func (d *Demo) Entries() []string {
	var entries []string
	for _, p := range d.processes {
		entries = append(entries, p.Addresses().Callers)
	}
	return entries
}

// Stop stops the VMs and the stand-ins.
func (d *Demo) Stop(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "stopping the demo")
	for _, p := range d.processes {
		if err := p.Stop(ctx); err != nil {
			return err
		}
	}
	for _, s := range d.servers {
		if err := s.Close(); err != nil {
			return err
		}
	}
	return nil
}
