package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	orderRounds  = 5
	orderCrowd   = 400                    // bad clients that connect and say nothing: "by hundreds"
	orderSockets = 256                    // descriptors of the scheduler: 256 to 1,024
	orderGap     = 100 * time.Millisecond // from the older write to the newer one
	orderSlack   = 50 * time.Millisecond  // by which time limits are longer on sockets
)

// orderCase lets one client write an extent on a new connection, and another one 0.1 s later on a kept one,
// while many others connect and say nothing.
func orderCase(rec *recorder) error {
	g, disks, err := startWorld(rec, 4, soundHandler(20*time.Millisecond), nil, orderSockets)
	if err != nil {
		return err
	}
	defer g.close()
	kept, err := dialClient(rec, g.listen)
	if err != nil {
		return err
	}
	counted := 0
	for round := range orderRounds {
		ok, err := orderRound(rec, g, disks[round%len(disks)], uint64(0x7f3a0000+round), kept)
		if err != nil {
			return err
		}
		if ok {
			counted++
		}
		time.Sleep(500 * time.Millisecond)
	}
	rec.logf("%d of %d rounds counted", counted, orderRounds)
	if counted == 0 {
		return fmt.Errorf("in no round were both writes served")
	}
	return nil
}

// orderRound reports whether the round counts: both writes were taken and served, none was closed unread.
func orderRound(rec *recorder, g *gateway, server *disk, extent uint64, kept *clientConn) (bool, error) {
	for range 3 { // the kept connection is in use
		if got := kept.ask(read(extent, server.cell, 2500*time.Millisecond)); got.err != nil {
			return false, fmt.Errorf("the kept connection ended: %w", got.err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		crowd, err := silentClients(rec, g.listen, orderCrowd)
		defer closeAll(crowd)
		if err != nil {
			return false, err
		}
	}
	opened, err := dialClient(rec, g.listen)
	if err != nil {
		return false, err
	}
	defer opened.conn.Close()
	older := write(extent, server.cell, 3*time.Second, []byte("the older content"))
	newer := write(extent, server.cell, 3*time.Second, []byte("the newer content"))
	olderAt, err := opened.send(older)
	if err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	var gotOlder, gotNewer reply
	wait.Go(func() { gotOlder = opened.await(older) })
	time.Sleep(orderGap)
	askedAt := rec.now()
	wait.Go(func() { gotNewer = kept.ask(newer) })
	wait.Wait()
	order := server.arrivals(older.id, newer.id)
	rec.logf("extent %s: taken %s then %s, %v apart; begun at the disk server: %v; it keeps %s", older.extent,
		older.id, newer.id, askedAt-olderAt, order, server.content(older.extent))
	if gotOlder.status != 200 || gotNewer.status != 200 || len(order) != 2 {
		rec.logf("round left out: %v, %v", gotOlder, gotNewer)
		return false, nil
	}
	if order[0] == newer.id && askedAt-olderAt > orderSlack {
		rec.breakf("order: %s was taken %v before %s of the same key and begun after it; "+
			"both were answered 200, the disk server keeps the content of %s",
			older.id, askedAt-olderAt, newer.id, server.content(older.extent))
	}
	return true, nil
}

// silentClients opens connections on which nothing is ever sent.
func silentClients(rec *recorder, address string, count int) (crowd []net.Conn, err error) {
	beganAt := rec.now()
	for range count {
		conn, err := net.DialTimeout("tcp4", address, 3*time.Second)
		if err != nil {
			return crowd, err
		}
		crowd = append(crowd, conn)
	}
	rec.logf("%d clients connected within %v and say nothing", count, rec.now()-beganAt)
	return crowd, nil
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}
