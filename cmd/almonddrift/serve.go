package main

import (
	"context"
	"os"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftserve"
	"github.com/almonddrift/almonddrift/internal/driftsettings"
	"github.com/almonddrift/almonddrift/platform"
)

// stopTimeout bounds a graceful shutdown.
const stopTimeout = 2 * time.Minute

// serveCommand runs one VM until it is interrupted.
type serveCommand struct {
	Settings string `help:"JSON settings file." type:"existingfile"`
	Name     string `help:"The VM's name, unique in the fleet."`
	Domain   string `help:"The VM's failure domain."`
	Callers  string `help:"IP number and port to listen on for callers."`
	Peers    string `help:"IP number and port to listen on for other VMs."`
	Ops      string `help:"IP number and port to listen on for operators."`
	Platform string `help:"IP number and port of the platform."`
	Log      string `help:"Lowest severity that is logged: debug, info, warning or error."`
}

// Help implements kong.HelpProvider.
func (s *serveCommand) Help() string {
	return `Settings come from the file; flags override them. SIGTERM stops the VM gracefully.

Example: almonddrift serve --settings vm-1.json --log warning`
}

// Run implements the command.
func (s *serveCommand) Run(ctx context.Context, reloads platform.Reloads) error {
	if path := os.Getenv(platform.SettingsVariable); path != "" && s.Settings == "" {
		return runOnPlatform(ctx, path, reloads)
	}
	settings, err := driftsettings.Load(s.Settings, driftsettings.Settings{
		Name: s.Name, Domain: s.Domain, Callers: s.Callers, Peers: s.Peers,
		Ops: s.Ops, Platform: s.Platform, Log: s.Log,
	})
	if err != nil {
		return err
	}
	process := driftserve.New(settings)
	if err := process.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return process.Stop(stopCtx)
}

// runOnPlatform runs one VM with the settings file of the users' platform.
func runOnPlatform(ctx context.Context, path string, reloads platform.Reloads) error {
	settings, err := platform.Load(path)
	if err != nil {
		return err
	}
	process := platform.New(settings, path, platform.WithReloads(reloads))
	if err := process.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return process.Stop(context.WithoutCancel(ctx))
}
