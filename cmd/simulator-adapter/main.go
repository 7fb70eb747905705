// Command simulator-adapter runs instances of the scheduler and exchanges messages of the simulator's wire
// protocol on standard input and output. Instances share no state.
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

// inputBufferSize is the size of the buffer for standard input, in bytes.
const inputBufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// instances contains the schedulers of the running instances, by instance number.
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

// handleBatch passes a batch's records to their instances and returns a reply with the instances' actions, in
// the order of each instance's first record in the batch.
func (s instances) handleBatch(batch wire.Batch) ([]byte, error) {
	var inOrder []uint16
	seen := map[uint16]bool{}
	for _, record := range batch.Records {
		if !seen[record.Instance] {
			seen[record.Instance], inOrder = true, append(inOrder, record.Instance)
		}
		s.handleRecord(batch.Now, record)
	}
	reply := wire.NewReply()
	for _, instance := range inOrder {
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

// handleRecord starts or stops an instance, or passes it an event. An event for an instance that is not
// running is ignored.
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
