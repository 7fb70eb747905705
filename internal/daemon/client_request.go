package daemon

import (
	"errors"
	"time"

	"landingpaddle/extent"
	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

const (
	// maxClientTimeout is the longest time-out that a client may state.
	maxClientTimeout = time.Hour
	maxCell          = 1<<16 - 1 // cells have 16 bits in the endpoint list
)

// clientRequest is a client's request as received on its connection, and the Responder of its call.
type clientRequest struct {
	listener   *clientListener
	connection *clientConnection
	stream     uint64
	header     proto.Request
	payload    []byte
	write      bool // by its header or by its class
}

// clientRequestOf returns the client's request that an attempt is made for.
func clientRequestOf(a *attempt) *clientRequest { return a.request.call.Responder.(*clientRequest) }

// validate checks a client's request against the bounds of the site, and records whether the request writes.
// It returns the reason of a rejection, or "". The planner checks whether a range can be split.
func (r *clientRequest) validate(site *config.Site) (reason string) {
	if !isWithinBounds(&r.header, site) {
		return ReasonBadRequest
	}
	r.write = r.header.Write || site.Classes[r.header.Class].Writes
	if !r.header.Ranged {
		return ""
	}
	if site.Extents == nil {
		return ReasonBadRequest
	}
	payloadLength := 0
	if r.write {
		payloadLength = int(r.header.Length)
	}
	if uint64(r.header.Length) > uint64(site.Limits.MaxPayload) || len(r.payload) != payloadLength {
		return ReasonBadRange
	}
	return ""
}

func isWithinBounds(header *proto.Request, site *config.Site) bool {
	return int(header.Class) < len(site.Classes) &&
		int(header.Plan) < len(site.Plans) &&
		header.Units > 0 && float64(header.Units) <= site.MaxUnits &&
		header.Timeout > 0 && header.Timeout <= maxClientTimeout &&
		header.Cell >= scheduler.NewObject && header.Cell <= maxCell
}

// newCall converts the request into a call for the loop.
func (r *clientRequest) newCall(receivedAt time.Duration) *Call {
	header := &r.header
	call := &Call{
		Responder:  r,
		ReceivedAt: receivedAt,
		Timeout:    header.Timeout,
		Token:      header.Token,
		DataVolume: header.DataVolume(),
		Request: scheduler.Request{
			Class:           int(header.Class),
			Cell:            int(header.Cell),
			Retry:           header.ClientTry > 0,
			Write:           r.write,
			VolumeInstances: int(header.VolumeInstances),
			Plan:            int(header.Plan),
			Key:             header.Key,
			Volume:          header.Volume,
			Units:           float64(header.Units),
		},
	}
	if header.Ranged {
		call.Range = &extent.Range{Offset: header.Offset, Length: uint64(header.Length)}
	}
	return call
}

// reject answers a request that was not admitted.
func (r *clientRequest) reject(reason string, retryAfter time.Duration) error {
	r.listener.instance.Stats.Rejected.Add(1)
	r.connection.conn.CloseStream(r.stream)
	r.listener.instance.log.Debug(answerLogMessage(proto.Rejected),
		keyReason, reason, keyToken, r.header.Token)
	answer := proto.Answer{Code: proto.Rejected, Reason: reason, RetryAfter: retryAfter}
	return r.connection.conn.Send(proto.TypeAnswer, r.stream, answer, nil)
}

// Respond gives the request its one final answer.
func (r *clientRequest) Respond(answer proto.Answer, payload []byte) {
	conn := r.connection.conn
	r.connection.remove(r.stream)
	conn.CloseStream(r.stream)
	err := conn.Send(proto.TypeAnswer, r.stream, answer, payload)
	if errors.Is(err, proto.ErrPayloadTooLong) || errors.Is(err, proto.ErrHeaderTooLong) {
		answer = proto.Answer{Code: proto.Failed, Reason: ReasonTooLarge}
		_ = conn.Send(proto.TypeAnswer, r.stream, answer, nil) // a closed connection is reported by Run
	}
	if onAnswer := r.listener.instance.cfg.Hooks.OnAnswer; onAnswer != nil {
		onAnswer(conn, r.stream, answer, payload)
	}
	r.payload = nil // frees the memory while attempts in flight still refer to the request
}
