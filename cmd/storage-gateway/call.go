package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/internal/testbed"
)

const maxCallCount = 100_000

// errCallBounds is returned if a flag of the command call is out of bounds.
var errCallBounds = errors.New("count must be 1 to 100000; rate, cells and volumes must be over 0")

type callCommand struct {
	To      []string      `required:"" help:"Addresses of instances, in the order of their numbers."`
	Count   int           `default:"100" help:"Number of requests to send; at most 100000."`
	Rate    float64       `default:"100" help:"Requests per second."`
	Class   uint16        `default:"0" help:"Number of the class."`
	Plan    uint16        `default:"0" help:"Number of the plan."`
	Cells   int32         `default:"1" help:"Number of cells that hold the data, from cell 0 on."`
	Units   uint32        `default:"1" help:"Units of each request."`
	Volumes uint64        `default:"4" help:"Number of volumes that the requests use in turn."`
	Wait    time.Duration `default:"2s" help:"How long the client waits for each request."`
	Write   bool          `help:"Send writes instead of reads."`
	Log     string        `help:"Write the client's log to this file, for audit."`
}

// Run sends requests at a constant rate and prints the number of requests by outcome and their mean latency.
// It ignores the first signal; a second one stops it.
func (c *callCommand) Run(out io.Writer) error {
	if c.Count < 1 || c.Count > maxCallCount || c.Rate <= 0 || c.Cells < 1 || c.Volumes < 1 {
		return errCallBounds
	}
	events := testbed.NewLog()
	client := testbed.NewClient(0, events, c.To, testbed.ClientBehavior{})
	ctx, cancel := handleSignals(func() {})
	defer cancel()
	result := client.SendLoad(ctx, testbed.Load{
		Instances: len(c.To),
		Requests:  c.Count,
		Rate:      c.Rate,
		Class:     c.Class,
		Plan:      c.Plan,
		Cells:     c.Cells,
		Volumes:   c.Volumes,
		Units:     c.Units,
		Timeout:   c.Wait,
		Write:     c.Write,
	})
	client.Close()
	counts := result.CountByCode
	fmt.Fprintf(out, "served %d, refused %d, failed %d, no answer %d; mean %v\n", counts[proto.OK],
		counts[proto.Rejected], counts[proto.Failed], counts[0], result.MeanLatency.Round(time.Microsecond))
	return writeLog(nil, events, c.Log)
}
