package main

import (
	"fmt"
	"time"
)

const lengthRounds = 8

// lengthCase sends writes whose stated length is 0, though a body follows.
func lengthCase(rec *recorder) error {
	g, disks, err := startWorld(rec, 4, soundHandler(20*time.Millisecond), nil, 0)
	if err != nil {
		return err
	}
	defer g.close()
	for round := range lengthRounds {
		if err := lengthRound(rec, g, disks[round%len(disks)], uint64(0x7f3a1000+round)); err != nil {
			return err
		}
	}
	return nil
}

// lengthRound writes an extent as usual, and then again with a wrong length.
func lengthRound(rec *recorder, g *gateway, server *disk, extent uint64) error {
	c, err := dialClient(rec, g.listen)
	if err != nil {
		return err
	}
	defer c.conn.Close()
	usual := write(extent, server.cell, 3*time.Second, []byte("content that was there before"))
	if got := c.ask(usual); got.status != 200 {
		return fmt.Errorf("a usual write was not served: %v", got)
	}
	bad, err := dialClient(rec, g.listen)
	if err != nil {
		return err
	}
	defer bad.conn.Close()
	m := write(extent, server.cell, 3*time.Second, []byte("content of a write whose length is wrong"))
	stated := len(m.body)
	if trouble {
		stated = 0
	}
	rec.logf("client sends PUT %s extent=%s, stated length %d, body %d", m.id, m.extent, stated, len(m.body))
	if _, err := bad.conn.Write(append(m.head(stated), m.body...)); err != nil {
		return err
	}
	got := bad.await(m)
	length := server.contentLength(m.extent)
	rec.logf("extent %s has the content of %s, %d bytes", m.extent, server.content(m.extent), length)
	if stated != len(m.body) && got.status == 200 {
		rec.breakf("%s stated a length of %d, sent %d bytes and was served; the extent has %d bytes",
			m.id, stated, len(m.body), length)
	}
	if stated == len(m.body) && (got.status != 200 || length != stated) {
		rec.breakf("%s with the right length was not served whole: %v, %d bytes", m.id, got, length)
	}
	return nil
}
