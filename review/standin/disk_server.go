package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is one request that has come to a disk server.
type arrival struct {
	id     string
	server string
	budget string
	first  time.Time // of its first byte
	last   time.Time // of its last byte
}

// diskServer serves one shard. It runs each request once its last byte has come.
type diskServer struct {
	id      string
	cell    int
	address string
	work    time.Duration
	rec     *record
	// answer returns the bytes that answer a request; nil: a sound answer.
	answer func(id string, body []byte) []byte

	mu       sync.Mutex
	arrivals []arrival
	bodies   map[string][]byte // made for each request's id
}

func startDiskServer(rec *record, id string, cell int, work time.Duration) (*diskServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &diskServer{id: id, cell: cell, address: listener.Addr().String(), work: work, rec: rec,
		bodies: map[string][]byte{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *diskServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.URL.Path == "/healthz" {
			_, _ = conn.Write(soundAnswer([]byte("ok\n")))
			continue
		}
		if _, err := conn.Write(s.run(request, first)); err != nil {
			return
		}
	}
}

// run runs a request and returns its answer.
func (s *diskServer) run(request *http.Request, first time.Time) []byte {
	id := request.Header.Get("X-Call-Id")
	came := arrival{id: id, server: s.id, budget: request.Header.Get("X-Budget"), first: first,
		last: time.Now()}
	s.rec.addAt(first, "%s runs %s budget %s", s.id, id, came.budget)
	body := madeBody(s.id, id)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, came)
	s.bodies[id] = body
	s.mu.Unlock()
	time.Sleep(s.work)
	if s.answer != nil {
		return s.answer(id, body)
	}
	return soundAnswer(body)
}

// madeBody is the data that a disk server returns for a request.
func madeBody(server, id string) []byte {
	var body []byte
	for line := range 8 {
		body = fmt.Appendf(body, "line %d of 8 for %s from %s\n", line+1, id, server)
	}
	return body
}

func soundAnswer(body []byte) []byte { return answerOfLength(len(body), body) }

// answerOfLength returns an answer 200 whose head states a length.
func answerOfLength(length int, body []byte) []byte {
	head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
	return append(head, body...)
}

func (s *diskServer) allArrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *diskServer) bodyFor(id string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[id]
}
