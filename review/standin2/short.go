package main

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	shortRounds = 40
	shortShare  = 4 // one of so many answers states a length that doesn't fit
	shortPause  = 2 * time.Millisecond
)

// shortCase lets disk servers answer in two pieces. Some answers state the length of the first piece only.
func shortCase(rec *recorder) error {
	var answers atomic.Int64
	handler := func(q *diskRequest) bool {
		time.Sleep(10 * time.Millisecond)
		q.run()
		return q.answerInPieces(trouble && answers.Add(1)%shortShare == 0)
	}
	g, disks, err := startWorld(rec, 4, handler, nil, 0)
	if err != nil {
		return err
	}
	defer g.close()
	served := 0
	for round := range shortRounds {
		c, err := dialClient(rec, g.listen)
		if err != nil {
			return err
		}
		m := read(uint64(0x7f3a2000+round), disks[round%len(disks)].cell, 2500*time.Millisecond)
		got := c.ask(m)
		c.conn.Close()
		if got.err != nil || got.status != 200 {
			continue
		}
		served++
		if whole := m.expected(); !bytes.Equal(got.body, whole) {
			rec.breakf("%s was served with %d of the %d bytes of its answer", m.id, len(got.body), len(whole))
		}
	}
	rec.logf("%d of %d requests served", served, shortRounds)
	if served == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}

// answerInPieces writes a 200 answer in two pieces, a moment apart. The length of a spoilt one is that of the
// first piece; its connection stays open and is of no further use.
func (q *diskRequest) answerInPieces(isSpoilt bool) bool {
	body := q.answer()
	length, half := len(body), len(body)/2
	if isSpoilt {
		length = half
	}
	q.server.rec.logf("disk %s answers %s with %d bytes, stated length %d", q.server.name, q.id(), len(body),
		length)
	head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
	if _, err := q.conn.Write(append(head, body[:half]...)); err != nil {
		return false
	}
	time.Sleep(shortPause)
	if _, err := q.conn.Write(body[half:]); err != nil {
		return false
	}
	if isSpoilt {
		q.waitForEnd(3 * time.Second)
	}
	return !isSpoilt
}

// waitForEnd waits until the scheduler closes the connection, for at most a time.
func (q *diskRequest) waitForEnd(within time.Duration) {
	q.conn.SetReadDeadline(time.Now().Add(within))
	var buffer [4096]byte
	for {
		if _, err := q.reader.Read(buffer[:]); err != nil {
			return
		}
	}
}
