package testbed

import (
	"context"
	"sync"
	"time"

	"landingpaddle/internal/proto"
)

// clientConn is a client's connection to an instance.
type clientConn struct {
	client   *Client
	instance int
	number   uint64        // of this connection among the client's, from 1
	dialed   chan struct{} // closed once conn or err is set
	conn     *proto.Conn
	err      error

	mu             sync.Mutex
	lastStream     uint64                       // stream of the latest request, from 1
	waiting        map[uint64]chan proto.Answer // by stream
	sent           map[uint64]proto.Request     // by stream; kept after the answer, to log a second one
	ended          bool                         // the connection has ended
	closedByClient bool                         // the client itself closed the connection
}

// pendingRequest is a request that was sent and waits for its answer.
type pendingRequest struct {
	sent    Event // its KindSent event, as logged
	timeout time.Duration
	answer  <-chan proto.Answer // closed without an answer when the connection ends
}

func newClientConn(client *Client, instance int, number uint64) *clientConn {
	return &clientConn{
		client:   client,
		instance: instance,
		number:   number,
		dialed:   make(chan struct{}),
		waiting:  map[uint64]chan proto.Answer{},
		sent:     map[uint64]proto.Request{},
	}
}

// closeGracefully closes the connection gracefully if it is established.
func (cc *clientConn) closeGracefully() {
	select {
	case <-cc.dialed:
	default:
		return
	}
	if cc.conn == nil {
		return
	}
	cc.mu.Lock()
	cc.closedByClient = true
	cc.mu.Unlock()
	cc.conn.CloseGracefully("reconnect")
}

// read receives answers until the connection ends, and then closes the channels of all waiting requests.
func (cc *clientConn) read(ctx context.Context) {
	_ = cc.conn.Run(ctx, cc.handleFrame) // waiting requests are notified by their closed channels
	cc.client.removeConn(cc)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.ended = true
	for _, answer := range cc.waiting {
		close(answer)
	}
	cc.waiting = nil
}

// handleFrame logs an answer and passes it to its request; frames of other types are ignored.
func (cc *clientConn) handleFrame(frame proto.Frame) error {
	if frame.Type != proto.TypeAnswer {
		return nil
	}
	var answer proto.Answer
	if err := frame.Decode(&answer); err != nil {
		return err
	}
	cc.mu.Lock()
	request := cc.sent[frame.Stream]
	waiting := cc.waiting[frame.Stream]
	delete(cc.waiting, frame.Stream)
	cc.mu.Unlock()
	cc.conn.CloseStream(frame.Stream)
	event := cc.event(KindAnswer, frame.Stream, &request)
	event.Code, event.Reason, event.Wait = answer.Code, answer.Reason, int64(answer.RetryAfter)
	event.Cell = int(answer.Cell) - 1
	event.Offset, event.Length = request.Offset, uint64(len(frame.Payload))
	event.Checksum = checksum(request.Offset, frame.Payload)
	if request.Ranged {
		event.DataVolume = request.DataVolume()
	}
	cc.client.log.Add(event)
	if waiting != nil {
		waiting <- answer
	}
	return nil
}

// event returns an event with the fields that all events of a request have in common.
func (cc *clientConn) event(kind Kind, stream uint64, request *proto.Request) Event {
	return Event{
		Kind:      kind,
		Instance:  cc.instance,
		Client:    cc.client.number,
		Conn:      cc.number,
		Seq:       stream,
		Token:     request.Token,
		ClientTry: int(request.ClientTry),
		Class:     int(request.Class),
		Plan:      int(request.Plan),
		Volume:    request.Volume,
		Key:       request.Key,
		Units:     int(request.Units),
		Write:     request.Write,
	}
}

// post logs and sends a request. It returns false if the connection has ended or the request was not sent.
func (cc *clientConn) post(request proto.Request) (pendingRequest, bool) {
	cc.mu.Lock()
	if cc.ended {
		cc.mu.Unlock()
		return pendingRequest{}, false
	}
	cc.lastStream++
	stream := cc.lastStream
	answer := make(chan proto.Answer, 1)
	cc.waiting[stream], cc.sent[stream] = answer, request
	payload := writtenPayload(&request)
	event := cc.event(KindSent, stream, &request)
	event.Wait, event.Cell = int64(request.Timeout), int(request.Cell)
	if request.Ranged {
		event.DataVolume, event.Offset, event.Length =
			request.DataVolume(), request.Offset, uint64(request.Length)
		event.Checksum = checksum(request.Offset, payload)
	}
	// Logged and sent under one lock: the order in the log is the order on the connection.
	cc.client.log.Add(event)
	err := cc.conn.OpenStream(stream)
	if err == nil {
		err = cc.conn.Send(proto.TypeRequest, stream, request, payload)
	}
	cc.mu.Unlock()
	if err != nil {
		event.Kind = KindBroken
		cc.client.log.Add(event)
		return pendingRequest{}, false
	}
	return pendingRequest{event, request.Timeout, answer}, true
}

// writtenPayload returns the bytes that a ranged write writes; nil for other requests.
func writtenPayload(request *proto.Request) []byte {
	if !request.Ranged || !request.Write {
		return nil
	}
	payload := make([]byte, request.Length)
	for i := range payload {
		payload[i] = writtenByte(request.Token, request.Offset+uint64(i))
	}
	return payload
}

// await waits for a request's answer and returns the zero value after a timeout. It returns false if the
// connection or ctx ended first. It waits for lateMargin beyond the request's timeout, so that a late answer
// is logged.
func (cc *clientConn) await(ctx context.Context, pending pendingRequest) (proto.Answer, bool) {
	event := pending.sent
	timer := time.NewTimer(pending.timeout + lateMargin)
	defer timer.Stop()
	select {
	case answer, ok := <-pending.answer:
		if !ok {
			event.Kind = cc.endKind()
			cc.client.log.Add(event)
		}
		return answer, ok
	case <-timer.C:
		event.Kind = KindTimedOut
		cc.client.log.Add(event)
		return proto.Answer{}, true
	case <-ctx.Done():
		return proto.Answer{}, false
	}
}

// endKind returns the kind of event for a request whose connection ended before its answer.
func (cc *clientConn) endKind() Kind {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closedByClient {
		return KindClientLeft
	}
	return KindBroken
}
