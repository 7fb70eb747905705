package main

import (
	"fmt"
	"time"
)

const (
	slowCall    = 300 * time.Millisecond
	bodoGrace   = 250 * time.Millisecond
	socketSlack = 50 * time.Millisecond
	toldAfter   = 6 * time.Second // at the latest, after discovery had the change
)

// slowDiscovery lets discovery answer each call late. Long after the start a disk server begins to drain, and
// a new one is ready for its shard, which clients write. It checks that nothing new comes to the draining one
// after the grace.
func slowDiscovery(rec *record, trouble bool) error {
	delay := time.Duration(0)
	if trouble {
		delay = slowCall
	}
	var servers []*diskServer
	for i, cell := range []int{0, 1, 0} {
		server, err := startDiskServer(rec, fmt.Sprintf("s-%d", i), cell, 20*time.Millisecond)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	full := list{Generation: 7, Reset: true, Instances: []listedEntry{entry(servers[0], "ready"),
		entry(servers[1], "ready")}}
	source, err := startDiscovery(rec, full, delay)
	if err != nil {
		return err
	}
	g, err := startGateway(setup{discovery: source.address, known: full,
		settings: smallDeployment("push", bodoGrace, 2)})
	if err != nil {
		return err
	}
	defer g.stop()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			request := &call{id: newID(), class: "field-read", plan: "standard", shard: i % 2,
				budget: 2 * time.Second}
			if request.shard == 0 {
				request.class, request.write, request.key = "field-write", true, request.id
				request.body = []byte("data of " + request.id)
			}
			ask(rec, g.address, request)
		}
	}()
	time.Sleep(5 * time.Second)
	source.change(entry(servers[0], "draining"), entry(servers[2], "ready"))
	drainedAt := time.Now()
	rec.add("s-0 is draining, s-2 is ready for its shard")
	time.Sleep(toldAfter + 6*time.Second)
	close(stop)
	<-done
	if g.hasEnded() {
		return fmt.Errorf("%w: the scheduler has crashed", errBroken)
	}
	late := 0
	var last time.Duration
	for _, came := range servers[0].allArrivals() {
		if after := came.first.Sub(drainedAt); after > toldAfter+bodoGrace+socketSlack {
			late++
			last = after
		}
	}
	if late > 0 {
		return fmt.Errorf("%w: %d requests came to the draining disk server after the grace, the last %.1f s"+
			" after discovery had the change", errBroken, late, last.Seconds())
	}
	return nil
}
