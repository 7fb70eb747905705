package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The times of a planned restart, from SIGTERM.
const (
	endRounds   = 3
	endClients  = 6
	endRequests = 3100 * time.Millisecond // the requests are sent: more than 0.7 s after SIGTERM
	endHold     = 3575 * time.Millisecond // the hold-up begins
	endKill     = 3710 * time.Millisecond // SIGKILL: not before 3 s (the longest deadline) and 0.7 s
	minKill     = 3700 * time.Millisecond
	maxHoldUp   = 150 * time.Millisecond // "held up for up to 0.15 s"
)

// endCase restarts a scheduler as planned while disk servers hang, and holds it up for a moment near the end.
func endCase(rec *recorder) error {
	handler := func(q *diskRequest) bool {
		if q.method == "GET" {
			q.run()
			return q.write(q.ok())
		}
		q.waitForEnd(5 * time.Second) // a write hangs
		return false
	}
	g, disks, err := startWorld(rec, 4, handler, nil, 0)
	if err != nil {
		return err
	}
	defer g.close()
	counted := 0
	for round := range endRounds {
		if round > 0 {
			if err := g.start(); err != nil {
				return err
			}
		}
		ok, err := endRound(rec, g, disks)
		if err != nil {
			return err
		}
		if ok {
			counted++
		}
	}
	rec.logf("%d of %d rounds counted", counted, endRounds)
	if counted == 0 {
		return fmt.Errorf("no round kept to the times of the case")
	}
	return nil
}

// endRound reports whether the round counts: hold-up and SIGKILL came within the times that the pages allow.
func endRound(rec *recorder, g *gateway, disks []*disk) (bool, error) {
	var conns []*clientConn
	for i := range endClients {
		c, err := dialClient(rec, g.listen)
		if err != nil {
			return false, err
		}
		defer c.conn.Close()
		m := read(uint64(0x7f3a4000+i), disks[i%len(disks)].cell, 2500*time.Millisecond)
		if got := c.ask(m); got.status != 200 {
			return false, fmt.Errorf("a usual read was not served: %v", got)
		}
		conns = append(conns, c)
	}
	endAt := time.Now()
	g.signal(syscall.SIGTERM)
	time.Sleep(time.Until(endAt.Add(endRequests)))
	var wait sync.WaitGroup
	answers := make([]reply, len(conns))
	messages := make([]*message, len(conns))
	for i, c := range conns {
		extent := uint64(0x7f3a5000 + i)
		messages[i] = write(extent, disks[i%len(disks)].cell, 3*time.Second, []byte("content"))
		wait.Go(func() { answers[i] = c.ask(messages[i]) })
	}
	time.Sleep(time.Until(endAt.Add(endHold)))
	heldAt := time.Now()
	if trouble {
		g.signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Until(endAt.Add(endKill)))
	g.signal(syscall.SIGKILL)
	held, killed := time.Since(heldAt), time.Since(endAt)
	<-g.exited
	wait.Wait()
	rec.logf("held up for %v, killed %v after SIGTERM", held, killed)
	if trouble && held > maxHoldUp || killed < minKill {
		rec.logf("round left out")
		return false, nil
	}
	for i, m := range messages {
		order := disks[i%len(disks)].arrivals(m.id)
		if answers[i].err != nil && len(order) > 0 {
			rec.breakf("%s was taken %v after SIGTERM, forwarded, and got no answer: %v", m.id, endRequests,
				answers[i].err)
		}
	}
	return true, nil
}
