package main

import (
	"context"
	"fmt"

	"github.com/almonddrift/almonddrift/internal/driftdemo"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
	"github.com/almonddrift/almonddrift/pkg/driftclient"
)

// demoCommand runs a whole small fleet in one process.
type demoCommand struct {
	User string `help:"Whose fleet: ${enum}." enum:"oshana,tacada" default:"oshana"`
}

// Run implements the command.
func (d *demoCommand) Run(ctx context.Context) error {
	size := driftfake.Oshana()
	if d.User == "tacada" {
		size = driftfake.Tacada()
	}
	demo := driftdemo.New(size)
	if err := demo.Start(ctx); err != nil {
		return err
	}
	client := driftclient.New(demo.Entries(), driftclient.WithCaller("demo"))
	answer, err := client.Query(ctx, driftapi.Query{
		Request: "demo-1", Class: "counter", Text: "church", Deadline: 1000,
	})
	if err != nil {
		return err
	}
	fmt.Printf("%d rows, coverage %.3f, version %d, %.1f ms\n",
		len(answer.Rows), answer.Coverage(), answer.Version, answer.Time)
	return demo.Stop(ctx)
}
