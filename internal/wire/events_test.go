package wire

import (
	"reflect"
	"testing"
	"time"

	"landingpaddle/scheduler"
)

func TestDecodeBatch_DecodesDocumentedEvents(t *testing.T) {
	for name, test := range map[string]struct {
		body string
		want Record
	}{
		"endpoint update": {`11 3d000000 0300 2900000000000000 01 02000000
			01 0a124a07 8b13 0000 00 0000000000000000 00 0000803f
			01 0a9011f2 b413 0000 00 009d966b01000000 01 0000c03f`,
			Record{Instance: 3, Event: scheduler.EndpointUpdate{Version: 41, Kind: scheduler.UpdateCached,
				Endpoints: []scheduler.Endpoint{
					{Server: serverA, Status: scheduler.Ready, NominalCapacity: 1},
					{Server: serverB, Status: scheduler.Ready, StartedAt: 0x16b969d00, Zone: 1,
						NominalCapacity: 1.5}}}}},
		"health check result": {"17 13000000 0300 0a9011f2 b413 6400 c05c150000000000 00",
			Record{Instance: 3, Event: scheduler.HealthCheckResult{Server: serverB, Code: scheduler.OK,
				Latency: 1400 * time.Microsecond}}},
		"peer message": {"18 0c000000 0300 02000000 0400 68692037",
			Record{Instance: 3, Event: scheduler.PeerMessage{From: 2, Body: []byte("hi 7")}}},
		"stop": {"19 02000000 0300", Record{Instance: 3, Stop: true}},
		"response started": {"13 15000000 0300 c4913a5d 00 0a124a07 8b13 d0248d0000000000",
			Record{Instance: 3, Event: scheduler.ResponseStarted{ID: 0x5d3a91c4, Server: serverA,
				Latency: 9250 * time.Microsecond}}},
		"attempt result": {"14 1d000000 0300 c4913a5d 00 0a124a07 8b13 6400 a0491a0100000000 01 5600 0300 00",
			Record{Instance: 3, Event: scheduler.AttemptResult{ID: 0x5d3a91c4, Server: serverA,
				Code:    scheduler.OK,
				Latency: 18500 * time.Microsecond, RequestDone: true, MeteredRate: 86, ElsewhereUnits: 3}}},
	} {
		t.Run(name, func(t *testing.T) {
			batch, err := DecodeBatch(frameOf(t, "01000000", test.body))
			if err != nil || len(batch.Records) != 1 || !reflect.DeepEqual(batch.Records[0], test.want) {
				t.Errorf("got %+v, %v\nwant %+v", batch.Records, err, test.want)
			}
		})
	}
}
