package platform

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an id that ran twice: a client sent a write and left, the write ran, and a request of the
// same id came again. The second is answered 409 as long as the id is remembered.
func TestFrontend_RejectsIDOfRequestThatMayHaveRun(t *testing.T) {
	const answerTime = 100 * time.Millisecond
	for name, test := range map[string]struct {
		text    string
		answer  []byte // nil: the disk server closes the connection
		leaves  bool   // the client, 20 ms after the request
		repeats []time.Duration
	}{
		"write, client left": {payText("a1", "x"), okResponse("ok"), true, []time.Duration{
			time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, time.Second}},
		"read, client left": {readText("a1"), okResponse("ok"), true, []time.Duration{
			time.Millisecond, 300 * time.Millisecond}},
		"write served": {payText("a1", "x"), okResponse("ok"), false, []time.Duration{0}},
		"write failed": {payText("a1", "x"), nil, false, []time.Duration{0}},
	} {
		t.Run(name, func(t *testing.T) {
			diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte {
				time.Sleep(answerTime)
				return test.answer
			})
			fixture := startGateway(t, 256, diskServer)
			first := fixture.dial()
			first.send(test.text)
			diskServer.awaitRequests(t, 1)
			if test.leaves {
				time.Sleep(answerTime / 5)
				first.conn.Close()
			} else {
				first.readAnswer()
			}
			endedAt := time.Now()
			for _, after := range test.repeats {
				time.Sleep(time.Until(endedAt.Add(after)))
				again := fixture.dial()
				again.send(test.text)
				if status, _, _ := again.readAnswer(); status != 409 {
					t.Errorf("the same id %v later: got status %d, want 409", after, status)
				}
			}
			time.Sleep(answerTime)
			if count := len(diskServer.received()); count != 1 {
				t.Errorf("got %d requests at the disk server, want 1", count)
			}
		})
	}
}

// An id may come again if its request was rejected, or was a read that was served.
func TestFrontend_AcceptsIDOfRequestThatMayRunAgain(t *testing.T) {
	fixture := startGateway(t, 256, newOKDiskServer(t))
	client := fixture.dial()
	for range 2 {
		client.send(readText("a1"))
		if status, _, _ := client.readAnswer(); status != 200 {
			t.Errorf("served read again: got status %d, want 200", status)
		}
	}
	ids := newRequestIDs(1)
	for range 2 {
		if !ids.reserve("a1", time.Now()) {
			t.Error("rejected request again: got its id refused, want it reserved")
		}
		ids.release("a1", false, time.Now())
	}
}

// An id is remembered for usedIDTime, and the latest ones as many as the bound allows, whatever their order.
func TestRequestIDs_RememberLatestForATime(t *testing.T) {
	const seeds, steps = 300, 60
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		maxUsed := random.IntN(5)
		ids, now := newRequestIDs(maxUsed), time.Unix(1, 0)
		var used []string // the latest last
		usedAt := map[string]time.Time{}
		for range steps {
			now = now.Add(time.Duration(random.IntN(5)) * time.Second)
			id := fmt.Sprint(random.IntN(8))
			want := true
			for _, other := range used[max(0, len(used)-maxUsed):] {
				if other == id && now.Sub(usedAt[id]) < usedIDTime {
					want = false
				}
			}
			if got := ids.reserve(id, now); got != want {
				t.Fatalf("seed %d: got id %s reserved %v, want %v", seed, id, got, want)
			}
			if !want {
				continue
			}
			if ids.reserve(id, now) {
				t.Fatalf("seed %d: got id %s reserved twice, want it in use", seed, id)
			}
			mayHaveRun := random.IntN(2) == 0
			ids.release(id, mayHaveRun, now)
			if mayHaveRun {
				used, usedAt[id] = append(used, id), now
			}
			if len(ids.open) != 0 || len(ids.used) > maxUsed || len(ids.oldest) > maxUsed {
				t.Fatalf("seed %d: got %d open and %d used ids, want 0 and at most %d", seed, len(ids.open),
					len(ids.used), maxUsed)
			}
		}
	}
}

// The bound holds under ever new ids, and the memory of forgotten ones is freed.
func TestRequestIDs_BoundMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := newRequestIDs(100)
		for n := range 100_000 {
			id := fmt.Sprint(n)
			ids.reserve(id, time.Now())
			ids.release(id, true, time.Now())
		}
		if len(ids.used) != 100 || cap(ids.oldest) > 400 {
			t.Errorf("got %d ids in a queue of %d, want 100 in at most 400", len(ids.used), cap(ids.oldest))
		}
		time.Sleep(usedIDTime)
		if !ids.reserve("99999", time.Now()) || len(ids.used) != 0 {
			t.Errorf("after their time: got %d ids remembered, want none", len(ids.used))
		}
	})
}
