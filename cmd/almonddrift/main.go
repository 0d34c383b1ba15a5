// Command almonddrift is a query tier over many shards. Run
// "almonddrift --help" for its commands and "almonddrift demo" to see it
// work.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes of every command.
const (
	exitFailed = 1
	exitUsage  = 2
)

// cli is the command line.
type cli struct {
	Serve serveCommand `cmd:"" help:"Run one VM. Example: almonddrift serve --settings vm-1.json"`
	Demo  demoCommand  `cmd:"" help:"Run a whole small fleet in one process. Example: almonddrift demo --user tacada"`
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	var c cli
	parser := kong.Must(&c,
		kong.Name("almonddrift"),
		kong.Description("A query tier that answers whole, truthfully and in time from many shards."),
		kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitUsage
			}
			os.Exit(code)
		}),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(newOutput()),
	)
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := command.Run(); err != nil {
		parser.Errorf("%v", err)
		os.Exit(exitFailed)
	}
}
