package platform

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a body that is served cut off: its stated length is too short, and the rest arrives some
// milliseconds later, as do the second pieces of all other responses.
func TestAttempt_FailsIfRestOfBodyArrivesLater(t *testing.T) {
	const requests, spoiltShare = 40, 4
	for _, pause := range []time.Duration{500 * time.Microsecond, 2 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			diskServer := newFakeDiskServer(t, func(n int, request *receivedRequest) []byte {
				body := strings.Repeat(request.field(fieldID), 30)
				half := len(body) / 2
				response := okResponse(body)
				if n%spoiltShare == spoiltShare-1 {
					response = append(okResponse(body[:half]), body[half:]...)
				}
				request.conn.Write(response[:len(response)-half])
				time.Sleep(pause)
				return response[len(response)-half:]
			})
			client := startGateway(t, 256, diskServer).dial()
			served := 0
			for n := range requests {
				id := fmt.Sprintf("a%03d", n)
				client.send(readText(id))
				status, _, body := client.readAnswer()
				if status == 200 && body != strings.Repeat(id, 30) {
					t.Errorf("request %s: got %d bytes of its answer, want it whole or failed", id, len(body))
				}
				if status == 200 {
					served++
				}
			}
			if served < requests/2 {
				t.Errorf("got %d of %d requests served, want half of them at least", served, requests)
			}
		})
	}
}

// Responses that arrive at once are soon passed on at once; one whose pieces arrive apart makes later ones
// wait again, within a bound.
func TestResponseSpread_FollowsResponses(t *testing.T) {
	const manyResponses = 300
	spread := newResponseSpread()
	if wait := spread.trailingWait(); wait < spreadWaitFactor*time.Millisecond {
		t.Errorf("with no response yet: got a wait of %v, want some milliseconds", wait)
	}
	for range manyResponses {
		spread.observe(20*time.Microsecond, 100)
	}
	spread.observe(2*time.Millisecond, maxSpreadBody+1) // a large response tells nothing
	if wait := spread.trailingWait(); wait != 0 {
		t.Errorf("after whole responses: got a wait of %v, want none", wait)
	}
	for _, apart := range []time.Duration{minSpread, 2500 * time.Microsecond} {
		spread.observe(apart, 100)
		if wait, want := spread.trailingWait(), max(2*apart, minTrailingWait); wait != want {
			t.Errorf("after pieces %v apart: got a wait of %v, want %v", apart, wait, want)
		}
	}
	spread.observe(time.Second, 100)
	if wait := spread.trailingWait(); wait != spreadWaitFactor*maxSpread || wait >= 10*time.Millisecond {
		t.Errorf("after a slow response: got a wait of %v, want %v", wait, spreadWaitFactor*maxSpread)
	}
}

// The spread of a response is the time between its reads; what came before does not count.
func TestUpstreamConn_TellsSpreadOfResponse(t *testing.T) {
	const pause = 20 * time.Millisecond
	response := okResponse("a body in two pieces")
	diskServer := newFakeDiskServer(t, func(n int, request *receivedRequest) []byte {
		if n == 0 {
			return response
		}
		request.conn.Write(response[:10])
		time.Sleep(pause)
		return response[10:]
	})
	fixture := startGateway(t, 256, diskServer)
	connection, err := fixture.gateway.upstream.dial(t.Context(), diskServer.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer fixture.gateway.upstream.discard(connection)
	for _, isWhole := range []bool{true, false} {
		connection.beginResponse()
		if _, err := connection.conn.Write([]byte(readText("a1"))); err != nil {
			t.Fatal(err)
		}
		got, err := connection.reader.ReadResponse()
		if err != nil || !bytes.HasSuffix(response, got.Body) {
			t.Fatalf("got %+v, error %v; want the response", got, err)
		}
		if spread := connection.responseSpread(); isWhole && spread >= pause/2 || !isWhole && spread < pause {
			t.Errorf("whole %v: got a spread of %v, want at least %v of the one in pieces only", isWhole,
				spread, pause)
		}
	}
}
