package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	orderRounds = 10
	orderGap    = 10 * time.Millisecond  // from the older write to the newer one
	orderBefore = 60 * time.Millisecond  // of the hold-up, before the older write
	orderAfter  = 5 * time.Millisecond   // of the hold-up, after the newer write
	maxHoldUp   = 150 * time.Millisecond // "held up for up to 0.15 s"
)

// orderCase sends two writes of one key, one after the other, while the scheduler is held up.
func orderCase(rec *recorder) error {
	g, disks, err := startWorld(rec, 4, soundHandler(20*time.Millisecond), nil)
	if err != nil {
		return err
	}
	defer g.close()
	first, err := dialClient(rec, g.listen)
	if err != nil {
		return err
	}
	second, err := dialClient(rec, g.listen)
	if err != nil {
		return err
	}
	counted := 0
	for round := range orderRounds {
		one, two := first, second
		if round%2 == 1 {
			one, two = second, first
		}
		ok, err := orderRound(rec, g, disks[round%len(disks)], uint64(0x7f3a0000+round), one, two)
		if err != nil {
			return err
		}
		if ok {
			counted++
		}
	}
	rec.logf("%d of %d rounds counted", counted, orderRounds)
	if counted == 0 {
		return fmt.Errorf("no round kept to the times of the case")
	}
	return nil
}

// orderRound reports whether the round counts: the hold-up was not longer than the page allows.
func orderRound(rec *recorder, g *gateway, server *disk, extent uint64, one, two *clientConn) (bool, error) {
	for _, c := range []*clientConn{one, two} { // both connections are in use
		if got := c.ask(read(extent, server.cell, 2*time.Second)); got.err != nil {
			return false, got.err
		}
	}
	time.Sleep(50 * time.Millisecond)
	older := write(extent, server.cell, 3*time.Second, []byte("the older content"))
	newer := write(extent, server.cell, 3*time.Second, []byte("the newer content"))
	heldAt := rec.now()
	if trouble {
		g.signal(syscall.SIGSTOP)
	}
	time.Sleep(orderBefore)
	var wait sync.WaitGroup
	var gotOlder, gotNewer reply
	olderAt, err := one.send(older)
	if err != nil {
		g.signal(syscall.SIGCONT)
		return false, err
	}
	wait.Go(func() { gotOlder = one.await(older) })
	time.Sleep(orderGap)
	newerAt, err := two.send(newer)
	if err != nil {
		g.signal(syscall.SIGCONT)
		return false, err
	}
	wait.Go(func() { gotNewer = two.await(newer) })
	time.Sleep(orderAfter)
	if trouble {
		g.signal(syscall.SIGCONT)
	}
	held := rec.now() - heldAt
	wait.Wait()
	if held > maxHoldUp {
		rec.logf("round left out: it was held up for %v", held)
		return false, nil
	}
	order := server.arrivals(older.id, newer.id)
	kept := server.content(older.extent)
	rec.logf("extent %s: taken %s then %s, %v apart; begun at the disk server: %v; it keeps %s",
		older.extent, older.id, newer.id, newerAt-olderAt, order, kept)
	if len(order) == 2 && order[0] == newer.id {
		rec.breakf("order: %s was taken %v before %s of the same key and begun after it; "+
			"answered %d and %d, the disk server keeps the content of %s",
			older.id, newerAt-olderAt, newer.id, gotOlder.status, gotNewer.status, kept)
	}
	return true, nil
}
