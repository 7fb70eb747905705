package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// One of spoiltShare answers states half the length of its body.
const spoiltShare = 10

// shortLength lets disk servers answer some requests with a length that does not fit the body, and checks
// that every client that is served has the body that the disk server made for its request.
func shortLength(rec *record, trouble bool) error {
	var answers, spoilt atomic.Uint64
	var servers []*diskServer
	full := list{Generation: 1, Reset: true}
	for i := range 2 {
		server, err := startDiskServer(rec, fmt.Sprintf("s-%d", i), i, 20*time.Millisecond)
		if err != nil {
			return err
		}
		server.answer = func(id string, body []byte) []byte {
			if answers.Add(1)%spoiltShare != 0 || !trouble {
				return soundAnswer(body)
			}
			spoilt.Add(1)
			rec.add("%s answers %s with length %d and a body of %d", server.id, id, len(body)/2, len(body))
			return answerOfLength(len(body)/2, body)
		}
		servers = append(servers, server)
		full.Instances = append(full.Instances, entry(server, "ready"))
	}
	source, err := startDiscovery(rec, full, 0)
	if err != nil {
		return err
	}
	g, err := startGateway(setup{discovery: source.address, known: full,
		settings: smallDeployment("ask", time.Second, len(servers))})
	if err != nil {
		return err
	}
	defer g.stop()
	var wrong, served atomic.Uint64
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for i := range 50 {
				request := &call{id: newID(), class: "field-read", plan: "standard", shard: i % len(servers),
					budget: 2 * time.Second}
				got := ask(rec, g.address, request)
				if got.err != nil || got.status != 200 {
					continue
				}
				served.Add(1)
				if made := servers[request.shard].bodyFor(request.id); !bytes.Equal(made, got.body) {
					wrong.Add(1)
					rec.add("WRONG DATA: %s is served with %d bytes; %d were made for it", request.id,
						len(got.body), len(made))
				}
			}
		})
	}
	clients.Wait()
	rec.add("%d served, %d of them with wrong data; %d spoilt answers", served.Load(), wrong.Load(),
		spoilt.Load())
	switch {
	case g.hasEnded():
		return fmt.Errorf("%w: the scheduler has crashed", errBroken)
	case wrong.Load() > 0:
		return fmt.Errorf("%w: %d of %d answers 200 had not the body that was made for the request",
			errBroken, wrong.Load(), served.Load())
	case served.Load() < 100:
		return fmt.Errorf("only %d requests were served", served.Load())
	}
	return nil
}

// ask sends one request on a connection of its own.
func ask(rec *record, address string, request *call) answer {
	client, err := dial(address)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer client.conn.Close()
	return client.do(rec, request)
}
