// Command simulator-adapter hosts instances of the decision module and speaks the simulator's wire on
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

const bufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run answers each batch with one reply until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, hosts := bufio.NewReaderSize(in, bufferSize), map[uint16]*scheduler.Scheduler{}
	for {
		batch, err := wire.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := answer(hosts, batch)
		if err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// answer hands a batch's events to their instances and gathers what each of these asks for.
func answer(hosts map[uint16]*scheduler.Scheduler, batch wire.Batch) ([]byte, error) {
	var touched []uint16
	seen := map[uint16]bool{}
	for _, rec := range batch.Records {
		id := rec.Instance
		if !seen[id] {
			seen[id], touched = true, append(touched, id)
		}
		switch {
		case rec.Stop:
			delete(hosts, id)
		case rec.Start != nil:
			hosts[id] = scheduler.New(rec.Start.Seed, rec.Start.Settings)
		case hosts[id] != nil:
			hosts[id].Handle(batch.Now, rec.Event)
		}
	}
	reply := wire.NewReply()
	for _, id := range touched {
		if hosts[id] == nil {
			continue
		}
		if err := decide(reply, id, hosts[id], batch.Now); err != nil {
			return nil, err
		}
	}
	return reply.Bytes(), nil
}

// decide adds what one instance asks for to the reply.
func decide(reply *wire.Reply, id uint16, h *scheduler.Scheduler, now time.Duration) error {
	for _, a := range h.Decide(now) {
		if err := reply.Add(id, a); err != nil {
			return err
		}
	}
	return nil
}
