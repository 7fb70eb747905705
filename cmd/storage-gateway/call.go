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

// errCallBounds is returned for flags of call that are out of bounds.
var errCallBounds = errors.New("count is 1 to 100000; rate, cells and volumes are over 0")

type callCommand struct {
	To      []string      `required:"" help:"Addresses of instances, in the order of their numbers."`
	Count   int           `default:"100" help:"Requests to send; 100000 at most."`
	Rate    float64       `default:"100" help:"Requests a second."`
	Class   uint16        `default:"0" help:"Number of the class."`
	Plan    uint16        `default:"0" help:"Number of the plan."`
	Cells   int32         `default:"1" help:"The data lies on cells 0 to this less one."`
	Units   uint32        `default:"1" help:"Units of each request."`
	Volumes uint64        `default:"4" help:"Volumes in turn."`
	Wait    time.Duration `default:"2s" help:"How long the client waits."`
	Write   bool          `help:"Requests write."`
	Log     string        `help:"Write the client's own log here, for audit."`
}

// Run sends requests at a rate and prints how they ended.
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
	ended := result.Ended
	fmt.Fprintf(out, "served %d, refused %d, failed %d, no answer %d; mean %v\n", ended[proto.OK],
		ended[proto.Rejected], ended[proto.Failed], ended[0], result.MeanLatency.Round(time.Microsecond))
	return writeLog(nil, events, c.Log)
}
