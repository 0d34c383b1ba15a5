// Command standin plays the scripts of the review's cases 6 to 10 against the project's
// own program. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"review2/bed"
)

// verdict is what a case has found.
type verdict struct {
	broken bool
	reason string
}

// cases holds the cases by their number.
var cases = map[int]func(b *bed.Bed, trouble bool) (verdict, error){}

func main() { os.Exit(run()) }

// longest bounds a run.
const longest = 115 * time.Second

func run() int {
	number := flag.Int("case", 0, "the number of the case")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	record, err := bed.NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	b, err := bed.New(record)
	if err != nil {
		record.Say("could not run: %v", err)
		return 2
	}
	defer b.Close()
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := play(b, trouble)
		done <- result{v, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
		record.Say("could not run: stopped by a signal")
		return 2
	case <-time.After(longest):
		record.Say("could not run: took longer than %s", longest)
		return 2
	case r := <-done:
		switch {
		case r.err != nil:
			record.Say("could not run: %v", r.err)
			return 2
		case r.verdict.broken:
			record.Say("BROKEN: %s", r.verdict.reason)
			return 1
		default:
			record.Say("held: %s", r.verdict.reason)
			return 0
		}
	}
}
