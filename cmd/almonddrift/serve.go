package main

import (
	"context"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftserve"
	"github.com/almonddrift/almonddrift/internal/driftsettings"
)

// stopTimeout bounds a graceful shutdown.
const stopTimeout = 2 * time.Minute

// serveCommand runs one VM until it is told to stop.
type serveCommand struct {
	Settings string `help:"JSON settings file." required:"" type:"existingfile"`
}

// Run implements the command.
func (s *serveCommand) Run(ctx context.Context) error {
	settings, err := driftsettings.Read(s.Settings)
	if err != nil {
		return err
	}
	process := driftserve.New(settings)
	if err := process.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return process.Stop(stopping)
}
