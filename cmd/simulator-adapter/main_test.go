package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"landingpaddle/internal/wire"
	"landingpaddle/scheduler"
)

// watchEndpointsCode is the code of the action that opens a watch of the endpoint list.
const watchEndpointsCode = 90

func TestRun_EndOfInputIsNotAnError(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(""), &out); err != nil || out.Len() != 0 {
		t.Fatalf("got error %v and %d bytes of output, want neither", err, out.Len())
	}
}

// The header of the batch states 9 records, which cannot fit in its frame of 16 bytes.
func TestRun_MalformedInputFailsWithoutReply(t *testing.T) {
	var out bytes.Buffer
	malformed := append(binary.LittleEndian.AppendUint32([]byte{9, 0, 0, 0}, 16), make([]byte, 8)...)
	if err := run(bytes.NewReader(malformed), &out); err == nil || out.Len() != 0 {
		t.Fatalf("got error %v and %d bytes of output, want an error and no output", err, out.Len())
	}
}

func TestRun_AnswersAnEmptyBatchWithAnEmptyReply(t *testing.T) {
	var out bytes.Buffer
	empty := append(binary.LittleEndian.AppendUint32(make([]byte, 4), 16), make([]byte, 8)...)
	if err := run(bytes.NewReader(empty), &out); err != nil || !bytes.Equal(out.Bytes(), []byte{4, 0, 0, 0}) {
		t.Fatalf("got error %v and reply % x, want only the length 4", err, out.Bytes())
	}
}

// One batch may stop an instance and start it again: the later events then go to a new scheduler.
func TestInstances_RestartInOneBatch(t *testing.T) {
	running := instances{}
	settings := scheduler.Settings{PollEndpoints: true}
	start := []wire.Record{
		{Instance: 1, Start: &wire.InstanceStart{Settings: settings}},
		{Instance: 1, Event: scheduler.EndpointUpdate{Kind: scheduler.UpdateCached}},
	}
	if _, err := running.handleBatch(wire.Batch{Records: start}); err != nil {
		t.Fatal(err)
	}
	stopped := running[1]
	restart := append([]wire.Record{{Instance: 1, Stop: true}}, start...)
	reply, err := running.handleBatch(wire.Batch{Now: 1, Records: restart})
	if err != nil || running[1] == stopped {
		t.Fatalf("got error %v, or the stopped scheduler is still running", err)
	}
	if reply[4] != watchEndpointsCode {
		t.Errorf("got reply % x, want the restarted instance to open a watch of the endpoint list", reply)
	}
}

// Events and stops of an instance that is not running are ignored: the reply contains no actions.
func TestInstances_IgnoreRecordsOfInstanceNotRunning(t *testing.T) {
	running := instances{}
	batch := wire.Batch{Records: []wire.Record{
		{Instance: 4, Event: scheduler.TimerFired{Token: 1}},
		{Instance: 4, Stop: true},
	}}
	if reply, err := running.handleBatch(batch); err != nil || len(reply) != 4 {
		t.Fatalf("got reply % x and error %v, want a reply without actions", reply, err)
	}
}
