// Command almonddrift is a query tier over many shards. Run
// "almonddrift --help" for its commands and "almonddrift demo" for a
// demonstration.
//
// The exit code is 0 on success, 1 when a command failed and 2 on a usage
// error.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/almonddrift/almonddrift/platform"
)

// Exit codes of every command.
const (
	exitFailed = 1
	exitUsage  = 2
)

// cli declares the commands. kong derives their names from the field names.
type cli struct {
	Serve    serveCommand    `cmd:"" help:"Run one VM."`
	Query    queryCommand    `cmd:"" help:"Send a query as a caller."`
	Check    checkCommand    `cmd:"" help:"Check settings, or a document that is about to be published."`
	Status   statusCommand   `cmd:"" help:"Show what each VM sees, and which VMs differ."`
	Timeline timelineCommand `cmd:"" help:"Show the events of all VMs in order."`
	Explain  explainCommand  `cmd:"" help:"Tell from logs why a request ended as it did."`
	Demo     demoCommand     `cmd:"" help:"Run a whole small fleet in one process."`
	Capacity capacityCommand `cmd:"" hidden:"" help:"Print what each role costs at full size."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// errUsage is wrapped by usage errors that a command finds while it runs.
var errUsage = errors.New("usage")

func main() {
	os.Exit(run())
}

// run runs the command line and returns the exit code.
func run() int {
	reloads := platform.CatchReloads()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	var c cli
	parser := kong.Must(&c,
		kong.Name("almonddrift"),
		kong.Description("A query tier that answers whole, truthfully and in time from many shards."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(newOutput(), reloads),
	)
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%v", err)
		return exitUsage
	}
	err = command.Run()
	if err == nil {
		return 0
	}
	parser.Errorf("%v", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}
