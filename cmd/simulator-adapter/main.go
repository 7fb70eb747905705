// Command simulator-adapter hosts instances of the scheduler and speaks the simulator's wire protocol on
// standard input and output. Instances share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"landingpaddle/internal/wire"
	"landingpaddle/scheduler"
)

// inputBufferSize is in bytes.
const inputBufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// instances are the schedulers that run, by their instances' numbers.
type instances map[uint16]*scheduler.Scheduler

// run answers each batch with one reply until the input ends.
func run(in io.Reader, out io.Writer) error {
	input, running := bufio.NewReaderSize(in, inputBufferSize), instances{}
	for {
		batch, err := wire.ReadBatch(input)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := running.handleBatch(batch)
		if err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// handleBatch hands a batch's events to their instances and returns what these ask for, in the order in
// which the batch names them first.
func (s instances) handleBatch(batch wire.Batch) ([]byte, error) {
	var touched []uint16
	seen := map[uint16]bool{}
	for _, record := range batch.Records {
		if !seen[record.Instance] {
			seen[record.Instance], touched = true, append(touched, record.Instance)
		}
		s.handleRecord(batch.Now, record)
	}
	reply := wire.NewReply()
	for _, instance := range touched {
		if s[instance] == nil {
			continue
		}
		for _, action := range s[instance].Decide(batch.Now) {
			if err := reply.Add(instance, action); err != nil {
				return nil, err
			}
		}
	}
	return reply.Bytes(), nil
}

// handleRecord starts or stops an instance, or hands it an event; one for an instance that does not run is
// dropped.
func (s instances) handleRecord(now time.Duration, record wire.Record) {
	switch {
	case record.Stop:
		delete(s, record.Instance)
	case record.Start != nil:
		s[record.Instance] = scheduler.New(record.Start.Seed, record.Start.Settings)
	case s[record.Instance] != nil:
		s[record.Instance].Handle(now, record.Event)
	}
}
