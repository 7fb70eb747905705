package main

import (
	"fmt"
	"io"
	"time"
)

const (
	goingClients    = 8
	readsAtOnce     = 800
	writesAtOnce    = 5
	writeBytes      = 60_000
	goesAfter       = 50 * time.Millisecond
	attemptAfterEnd = 150 * time.Millisecond // 0.1 s, and 50 ms that every limit is longer on sockets
)

// sendsAndGoes lets clients send much at once and go, and checks that no attempt for such a client begins
// more than 0.1 s after its close.
func sendsAndGoes(rec *record, trouble bool) error {
	server, err := startDiskServer(rec, "s-0", 0, 250*time.Millisecond)
	if err != nil {
		return err
	}
	full := list{Generation: 1, Reset: true, Instances: []listedEntry{entry(server, "ready")}}
	source, err := startDiscovery(rec, full, 0)
	if err != nil {
		return err
	}
	g, err := startGateway(setup{discovery: source.address, known: full,
		settings: smallDeployment("ask", time.Second, 1)})
	if err != nil {
		return err
	}
	defer g.stop()
	closedAt := map[string]time.Time{} // by request id
	for i := range goingClients {
		client, err := dial(g.address)
		if err != nil {
			return err
		}
		var ids []string
		var text []byte
		for range requestsAtOnce(i) {
			request := &call{id: newID(), class: "field-read", plan: "standard",
				budget: 2500 * time.Millisecond}
			if i%2 == 1 {
				request.class, request.write, request.key = "field-write", true, request.id
				request.body = make([]byte, writeBytes)
			}
			ids = append(ids, request.id)
			text = append(text, request.encode("service.internal")...)
		}
		go func() { _, _ = io.Copy(io.Discard, client.conn) }()
		_ = client.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		written, err := client.conn.Write(text)
		rec.add("client %d sends %s to %s at once, %d of %d bytes, error %v", i, ids[0], ids[len(ids)-1],
			written, len(text), err)
		time.Sleep(goesAfter)
		if trouble {
			client.conn.Close()
			rec.add("client %d closes its connection", i)
			for _, id := range ids {
				closedAt[id] = time.Now()
			}
		}
		time.Sleep(time.Second)
		if !trouble {
			defer client.conn.Close()
		}
	}
	time.Sleep(2 * time.Second)
	if g.hasEnded() {
		return fmt.Errorf("%w: the scheduler has crashed", errBroken)
	}
	late := 0
	for _, came := range server.allArrivals() {
		if at, closed := closedAt[came.id]; closed && came.first.Sub(at) > attemptAfterEnd {
			late++
			rec.add("LATE: an attempt for %s began %.3f s after its client had closed", came.id,
				came.first.Sub(at).Seconds())
		}
	}
	if late > 0 {
		return fmt.Errorf("%w: %d attempts began more than 0.1 s after their client had closed", errBroken,
			late)
	}
	return nil
}

// requestsAtOnce returns how many requests a client sends at once: many reads, or a few long writes.
func requestsAtOnce(client int) int {
	if client%2 == 1 {
		return writesAtOnce
	}
	return readsAtOnce
}
