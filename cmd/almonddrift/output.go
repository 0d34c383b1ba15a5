package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/mattn/go-isatty"
)

// output is where commands print. Progress goes to a terminal only.
type output struct {
	stdout, stderr io.Writer
	terminal       bool
}

func newOutput() *output {
	return &output{
		stdout: os.Stdout, stderr: os.Stderr, terminal: isatty.IsTerminal(os.Stderr.Fd()),
	}
}

func (o *output) progress(line string) {
	if o.terminal {
		fmt.Fprintln(o.stderr, line)
	}
}

// json prints one JSON value.
func (o *output) json(value any) error {
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// textWriter prints a value for people.
type textWriter interface {
	Write(w io.Writer) error
}

// print prints a value as JSON or for people.
func (o *output) print(asJSON bool, value textWriter) error {
	if asJSON {
		return o.json(value)
	}
	return value.Write(o.stdout)
}
