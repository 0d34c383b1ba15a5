package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/mattn/go-isatty"
)

// output writes the results and the progress of commands. Progress is printed
// only if stderr is a terminal.
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

// json prints the value as indented JSON.
func (o *output) json(value any) error {
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// textWriter is a value that can print itself as text.
type textWriter interface {
	Write(w io.Writer) error
}

// print prints a value as JSON or as text.
func (o *output) print(asJSON bool, value textWriter) error {
	if asJSON {
		return o.json(value)
	}
	return value.Write(o.stdout)
}
