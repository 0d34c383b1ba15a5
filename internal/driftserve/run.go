package driftserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftintake"
	"github.com/almonddrift/almonddrift/internal/driftlisten"
	"github.com/almonddrift/almonddrift/internal/driftmetric"
	"github.com/almonddrift/almonddrift/internal/driftnode"
	"github.com/almonddrift/almonddrift/internal/driftsettings"
)

// Limits of every listener.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 11 * time.Minute
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// newIntake returns the bounds on what the VM reads of requests on all listeners.
func newIntake(lifecycle fx.Lifecycle, s driftsettings.Settings, events *driftevent.Log, registry *prometheus.Registry) *driftlisten.Intake {
	rules := driftintake.Rules(s.Memory<<20, s.Files)
	// Reading a message of another VM takes up to twice its size.
	rules[driftintake.VMs].Bytes = max(rules[driftintake.VMs].Bytes, 3*maxPeersBytes)
	account := driftintake.NewAccount(rules)
	observer := driftmetric.NewIntakeMetrics(registry, events, account)
	times := driftintake.Times{Head: headerTimeout, Idle: idleTimeout}
	limits := driftlisten.Limits{
		HeadBytes: maxHeaderBytes,
		Times:     driftintake.ClassTimes{driftintake.Callers: times, driftintake.VMs: times, driftintake.Operators: times},
	}
	intake := driftlisten.NewIntake(account, limits, observer.Record)
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(func() {
		go intake.Run(ctx)
		go observer.Run(ctx)
	}, cancel))
	return intake
}

// runNode runs the node from the start to the stop of the process.
func runNode(lifecycle fx.Lifecycle, node *driftnode.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				_ = node.Run(ctx)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-done
			return nil
		},
	})
}

// runListeners serves callers, other VMs and operators.
func runListeners(
	lifecycle fx.Lifecycle, p *Process, node *driftnode.Node, events *driftevent.Log,
	intake *driftlisten.Intake, callers callersHandler, peers peersHandler, ops opsHandler,
) {
	lifecycle.Append(fx.StopHook(node.Server.Close))
	runServer(lifecycle, p.listeners.ops, ops.Handler, events, driftlisten.WithIntake(intake, driftintake.Operators))
	runServer(lifecycle, p.listeners.peers, peers.Handler, events, driftlisten.WithIntake(intake, driftintake.VMs))
	runServer(lifecycle, p.listeners.callers, callers.Handler, events, driftlisten.WithIntake(intake, driftintake.Callers))
}

func runServer(lifecycle fx.Lifecycle, l net.Listener, handler http.Handler, events *driftevent.Log, bounds driftlisten.Option) {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := driftlisten.New(&http.Server{
		Handler: handler, Protocols: &protocols, ReadHeaderTimeout: headerTimeout,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}, bounds)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					events.Record(driftevent.InternalError, "", l.Addr().String(), err.Error())
				}
			}()
			return nil
		},
		OnStop: server.Drain,
	})
}
