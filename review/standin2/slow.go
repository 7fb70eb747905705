package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	slowDelay   = 5 * time.Second        // of discovery's answer to each call
	slowDrainAt = 8 * time.Second        // after the start
	slowLength  = 14 * time.Second       // after the drain
	slowGrace   = 250 * time.Millisecond // of the deployment, on drains
	slowTold    = 6 * time.Second        // told at the latest so long after discovery had it
)

// slowCase lets discovery answer each call late, where lists are pushed. Then a disk server drains, and
// another one takes its shard over.
func slowCase(rec *recorder) error {
	var mu sync.Mutex
	got := map[string][]time.Duration{}
	handler := func(q *diskRequest) bool {
		mu.Lock()
		got[q.server.name] = append(got[q.server.name], rec.now())
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		q.run()
		return q.write(q.ok())
	}
	g, disks, err := newWorld(rec, 2, handler, nil)
	if err != nil {
		return err
	}
	defer g.close()
	if trouble {
		g.discovery.delay = slowDelay
	}
	g.settings["registry_mode"], g.settings["classes"] = "push", coastalClasses()
	g.settings["rules"].(object)["drain_grace_ns"] = slowGrace.Nanoseconds()
	if err := g.start(); err != nil {
		return err
	}
	heir, err := startDisk(rec, cellName(9), 0, handler)
	if err != nil {
		return err
	}
	drainAt := rec.now() + slowDrainAt
	isDrained, wroteAt := false, time.Duration(0)
	for extent := uint64(0x7f3a6000); rec.now() < drainAt+slowLength; extent++ {
		if !isDrained && rec.now() >= drainAt {
			old := serverEntry(disks[0].name, disks[0].address, 0)
			next := serverEntry(heir.name, heir.address, 0)
			old.Lifecycle, next.StartedAtMS = "draining", time.Now().UnixMilli()
			wroteAt = rec.now()
			g.discovery.set(old)
			g.discovery.set(next)
			isDrained = true
		}
		if err := slowWrite(rec, g, extent); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	bound := wroteAt + slowTold + slowGrace + orderSlack
	late := 0
	for _, at := range got[disks[0].name] {
		if at > bound {
			late++
		}
	}
	rec.logf("the draining one got %d writes, %d of them more than %v after the drain; the ready one %d",
		len(got[disks[0].name]), late, bound-wroteAt, len(got[heir.name]))
	if late > 0 {
		rec.breakf("drain: %d writes went to the draining disk server more than %v after discovery had the "+
			"change, %d to the one that took over", late, bound-wroteAt, len(got[heir.name]))
	} else if len(got[heir.name]) == 0 {
		return fmt.Errorf("no write came to either disk server")
	}
	return nil
}

// slowWrite writes an extent of shard 0 on a connection of its own.
func slowWrite(rec *recorder, g *gateway, extent uint64) error {
	c, err := dialClient(rec, g.listen)
	if err != nil {
		return err
	}
	defer c.conn.Close()
	m := write(extent, 0, 2*time.Second, fmt.Appendf(nil, "content of %x", extent))
	m.class, m.key = "member-write", ""
	c.ask(m)
	return nil
}

// coastalClasses returns classes like those of the coastal ensemble archive.
func coastalClasses() []object {
	return []object{
		{"name": "member-read", "deadline_ns": 2500000000, "on_time_ns": 300000000, "repeat": "read_like",
			"worth": 2.0, "late_worth": 0.15, "streaming": false},
		{"name": "member-write", "deadline_ns": 2000000000, "on_time_ns": 300000000, "repeat": "read_like",
			"worth": 2.0, "late_worth": 0.15, "streaming": false},
	}
}
