// Command driftsoak plays planned work over real processes of the product. Run
// "driftsoak --help" for its commands.
//
// The exit code is 0 if all promises were kept, 1 if one was broken, and 2 if a run failed
// or the command line is wrong.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/almonddrift/almonddrift/platform/driftsoak"
)

// Exit codes of every command.
const (
	exitBroken = 1
	exitFailed = 2
)

// cli declares the commands.
type cli struct {
	Run   runCommand   `cmd:"" help:"Play one run for each seed."`
	Judge judgeCommand `cmd:"" help:"Judge a record again."`
}

// runCommand plays runs. Flags change the configuration that is read or built in.
type runCommand struct {
	Program string `default:"target/almonddrift" help:"The product's executable." type:"existingfile"`
	Dir     string `default:"target/soak" help:"Folder of the records and logs, a folder in it for each seed." type:"path"`
	Config  string `help:"JSON file with fields that replace those of the built-in run." type:"existingfile"`
	Base    string `default:"sheet" enum:"sheet,planned,placing" help:"The built-in run: the load of a sheet, short and hard stops of few VMs, or many VMs at busy upstreams."`
	Vary    bool   `help:"Draw further figures of each run from its seed."`
	VMs     int    `name:"vms" help:"Number of VM processes, 0 for that of the configuration."`
	Seed    uint64 `default:"1" help:"The first seed."`
	Seeds   int    `default:"1" help:"Number of seeds."`
	Jobs    int    `default:"1" help:"Runs at a time."`
	Keep    bool   `help:"Keep the folders of runs without a finding too."`
	Show    int    `default:"5" help:"Findings that are printed for each seed."`
}

type judgeCommand struct {
	Record string `arg:"" help:"The record of a run." type:"existingfile"`
}

// errBroken is returned if a promise was broken.
type errBroken struct{ runs int }

// Error implements error.
func (e errBroken) Error() string { return fmt.Sprintf("promises were broken in %d runs", e.runs) }

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	var c cli
	parser := kong.Must(&c, kong.Name("driftsoak"), kong.Description("Plays planned work over real processes."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%v", err)
		return exitFailed
	}
	switch err := command.Run().(type) { //nolint:errorlint // commands return it as it is
	case nil:
		return 0
	case errBroken:
		parser.Errorf("%v", err)
		return exitBroken
	default:
		parser.Errorf("%v", err)
		return exitFailed
	}
}

// builtIn returns the configuration that Base names.
func (c runCommand) builtIn() driftsoak.Config {
	switch c.Base {
	case "planned":
		return driftsoak.Planned()
	case "placing":
		return driftsoak.Placing()
	default:
		return driftsoak.Sheet()
	}
}

// Run plays the seeds, at most Jobs at a time.
func (c runCommand) Run(ctx context.Context) error {
	config, err := driftsoak.ReadConfig(c.Config, c.builtIn())
	if err != nil {
		return err
	}
	if config.Program, err = filepath.Abs(c.Program); err != nil {
		return err
	}
	if c.VMs > 0 {
		config.VMs = c.VMs
	}
	var (
		mu             sync.Mutex
		wait           sync.WaitGroup
		broken, failed int
	)
	places := make(chan struct{}, max(1, c.Jobs))
	for i := range c.Seeds {
		places <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		wait.Go(func() {
			defer func() { <-places }()
			one := config
			one.Seed = c.Seed + uint64(i)
			if c.Vary {
				one = driftsoak.Vary(one)
			}
			one.Dir = filepath.Join(c.Dir, strconv.FormatUint(one.Seed, 10))
			report, err := driftsoak.Run(ctx, one)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				failed++
				fmt.Printf("seed %d: failed: %v\n", one.Seed, err)
			case report.Broken():
				broken++
			}
			if err == nil {
				c.print(one, report)
			}
		})
	}
	wait.Wait()
	switch {
	case failed > 0 || ctx.Err() != nil:
		return fmt.Errorf("%d runs failed; %d others broke a promise", failed, broken)
	case broken > 0:
		return errBroken{broken}
	}
	return nil
}

// print prints the line of a run and its findings, and removes the folder of a run that
// has none.
func (c runCommand) print(config driftsoak.Config, r driftsoak.Report) {
	fmt.Printf("seed %d: %s\n", config.Seed, r)
	for i, f := range r.Findings() {
		if i == c.Show {
			fmt.Printf("  ... see %s\n", config.Dir)
			break
		}
		fmt.Printf("  %s\n", f)
	}
	for _, e := range r.Violations {
		fmt.Printf("  %.3f s: %s has logged a violated promise: %s\n", e.At, e.VM, e.Note)
	}
	if len(r.Findings())+len(r.Violations) == 0 && !c.Keep {
		if err := os.RemoveAll(config.Dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

// Run judges a record.
func (c judgeCommand) Run() error {
	events, err := driftsoak.ReadRecord(c.Record)
	if err != nil {
		return err
	}
	report := driftsoak.Judge(events)
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return err
	}
	if report.Broken() {
		return errBroken{1}
	}
	return nil
}
