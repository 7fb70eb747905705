package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"landingpaddle/internal/wire"
	"landingpaddle/scheduler"
)

func TestEndOfInputIsNoError(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(""), &out); err != nil || out.Len() != 0 {
		t.Fatalf("got %v and %d bytes", err, out.Len())
	}
}

func TestMalformedInputEndsWithoutAReply(t *testing.T) {
	var out bytes.Buffer
	bad := append(binary.LittleEndian.AppendUint32([]byte{9, 0, 0, 0}, 16), make([]byte, 8)...)
	if err := run(bytes.NewReader(bad), &out); err == nil || out.Len() != 0 {
		t.Fatalf("got %v and %d bytes", err, out.Len())
	}
}

func TestEmptyBatchGetsAnEmptyReply(t *testing.T) {
	var out bytes.Buffer
	empty := append(binary.LittleEndian.AppendUint32(make([]byte, 4), 16), make([]byte, 8)...)
	if err := run(bytes.NewReader(empty), &out); err != nil || !bytes.Equal(out.Bytes(), []byte{4, 0, 0, 0}) {
		t.Fatalf("got %v and % x", err, out.Bytes())
	}
}

func ask() *wire.InstanceStart {
	return &wire.InstanceStart{Settings: scheduler.Settings{PollEndpoints: true}}
}

func TestKillAndFreshStartInOneBatch(t *testing.T) {
	hosts := map[uint16]*scheduler.Scheduler{}
	list := scheduler.EndpointUpdate{Kind: scheduler.UpdateCached}
	start := []wire.Record{{Instance: 1, Start: ask()}, {Instance: 1, Event: list}}
	if _, err := answer(hosts, wire.Batch{Records: start}); err != nil {
		t.Fatal(err)
	}
	old := hosts[1]
	reply, err := answer(hosts, wire.Batch{Now: 1, Records: append([]wire.Record{{Instance: 1,
		Stop: true}}, start...)})
	if err != nil || hosts[1] == old {
		t.Fatalf("the host lives on: %v", err)
	}
	if reply[4] != 90 {
		t.Errorf("a fresh host opens its watch; got % x", reply)
	}
}

func TestEventsForADeadInstanceAreDropped(t *testing.T) {
	hosts := map[uint16]*scheduler.Scheduler{}
	batch := wire.Batch{
		Records: []wire.Record{{Instance: 4, Event: scheduler.TimerFired{Token: 1}}, {Instance: 4,
			Stop: true}},
	}
	if reply, err := answer(hosts, batch); err != nil || len(reply) != 4 {
		t.Fatalf("got % x, %v", reply, err)
	}
}
