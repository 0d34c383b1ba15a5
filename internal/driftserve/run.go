package driftserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftlisten"
	"github.com/almonddrift/almonddrift/internal/driftnode"
)

// Limits of every listener.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 11 * time.Minute
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

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
	callers callersHandler, peers peersHandler, ops opsHandler,
) {
	lifecycle.Append(fx.StopHook(node.Server.Close))
	runServer(lifecycle, p.listeners.ops, ops.Handler, events)
	runServer(lifecycle, p.listeners.peers, peers.Handler, events)
	runServer(lifecycle, p.listeners.callers, callers.Handler, events)
}

func runServer(lifecycle fx.Lifecycle, l net.Listener, handler http.Handler, events *driftevent.Log) {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := driftlisten.New(&http.Server{
		Handler: handler, Protocols: &protocols, ReadHeaderTimeout: headerTimeout,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	})
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
