package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	holdRounds    = 15
	writersAtOnce = 4
	// The first write comes when the scheduler is held up.
	firstWriteAfter = 5 * time.Millisecond
	writeGap        = 30 * time.Millisecond
	heldFor         = 140 * time.Millisecond
	holdLimit       = 150 * time.Millisecond // by the pages
	orderSlack      = 50 * time.Millisecond  // every time limit is 50 ms longer on sockets
)

// heldUp holds the scheduler up while clients write the same key one after another, and checks that the
// writes run in the order in which the scheduler has taken them. Writes that were taken within 50 ms of each
// other may run in either order.
func heldUp(rec *record, trouble bool) error {
	server, err := startDiskServer(rec, "s-0", 0, 10*time.Millisecond)
	if err != nil {
		return err
	}
	full := list{Generation: 1, Reset: true, Instances: []listedEntry{entry(server, "ready")}}
	source, err := startDiscovery(rec, full, 0)
	if err != nil {
		return err
	}
	settings := smallDeployment("ask", time.Second, 1)
	settings["classes"].([]any)[1].(map[string]any)["fifo_by_key"] = true
	settings["rules"].(map[string]any)["order_pause_ns"] = 100 * time.Millisecond
	g, err := startGateway(setup{discovery: source.address, known: full, settings: settings})
	if err != nil {
		return err
	}
	defer g.stop()
	turned := 0
	for round := range holdRounds {
		count, err := turnedWrites(rec, g, server, round, trouble)
		if err != nil {
			return err
		}
		turned += count
	}
	if g.hasEnded() {
		return fmt.Errorf("%w: the scheduler has crashed", errBroken)
	}
	if turned > 0 {
		return fmt.Errorf("%w: %d writes ran before one of the same key that was taken over 50 ms earlier",
			errBroken, turned)
	}
	return nil
}

// sentWrite is a write with the times just before and just after its last byte was written.
type sentWrite struct {
	id            string
	before, after time.Time
}

// turnedWrites sends writes of one key, each on a kept connection of its own, and returns how many of them
// ran before one that had been taken over 50 ms earlier.
func turnedWrites(rec *record, g *gateway, server *diskServer, round int, trouble bool) (int, error) {
	var clients []*clientConn
	for range writersAtOnce {
		client, err := dial(g.address)
		if err != nil {
			return 0, err
		}
		defer client.conn.Close()
		first := &call{id: newID(), class: "field-read", plan: "standard", budget: 2 * time.Second}
		if got := client.do(rec, first); got.status != 200 {
			return 0, fmt.Errorf("the first read was answered %d, %w", got.status, got.err)
		}
		clients = append(clients, client)
	}
	held := make(chan time.Duration, 1)
	if trouble {
		go func() { held <- holdUp(rec, g) }()
	} else {
		held <- 0
	}
	time.Sleep(firstWriteAfter)
	var writes []sentWrite
	var answers sync.WaitGroup
	for _, client := range clients {
		id := newID()
		request := &call{id: id, extent: fmt.Sprintf("%016x", 0x7f3a+round), class: "field-write",
			plan: "standard", write: true, budget: 3 * time.Second, body: []byte("data of " + id),
			key: id}
		write := sentWrite{id: id, before: time.Now()}
		if err := client.send(rec, request); err != nil {
			return 0, err
		}
		write.after = time.Now()
		writes = append(writes, write)
		answers.Go(func() { client.receive(rec, request) })
		time.Sleep(writeGap)
	}
	answers.Wait()
	if lasted := <-held; lasted > holdLimit {
		rec.add("round %d does not count: the scheduler was held up for %v", round, lasted)
		return 0, nil
	}
	return countTurned(rec, server, writes), nil
}

// holdUp stops the scheduler for a while and returns for how long it was held up.
func holdUp(rec *record, g *gateway) time.Duration {
	began := time.Now()
	_ = g.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(heldFor)
	_ = g.command.Process.Signal(syscall.SIGCONT)
	lasted := time.Since(began)
	rec.add("the scheduler was held up for %v", lasted)
	return lasted
}

// countTurned returns how many writes ran before one that had been taken over 50 ms earlier.
func countTurned(rec *record, server *diskServer, writes []sentWrite) (turned int) {
	position := map[string]int{}
	for i, came := range server.allArrivals() {
		position[came.id] = i + 1 // 0: it never ran
	}
	for i, later := range writes {
		isTurned := slices.ContainsFunc(writes[:i], func(earlier sentWrite) bool {
			bothRan := position[later.id] > 0 && position[earlier.id] > 0
			return bothRan && position[later.id] < position[earlier.id] &&
				later.before.Sub(earlier.after) > orderSlack
		})
		if isTurned {
			turned++
			rec.add("TURNED: %s ran before one of the same key that was taken over 50 ms earlier", later.id)
		}
	}
	return turned
}
