package main

import (
	"os"

	"github.com/almonddrift/almonddrift/internal/driftcapacity"
)

// capacityCommand prints the resource use of each role at the expected full
// size.
type capacityCommand struct{}

// Run implements the command.
func (*capacityCommand) Run() error {
	return driftcapacity.Print(os.Stdout)
}
