// Package wire speaks the simulator's binary protocol: it reads batches of events, parses an instance's
// settings and writes replies. It holds no decisions.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"landingpaddle/scheduler"
)

const (
	batchHeader  = 16
	recordHeader = 5
	entrySize    = 23
	maxFrame     = 1 << 30
	maxText      = math.MaxUint16
)

// Codes of events.
const (
	codeBegin = 16 + iota
	codeMembers
	codeRequest
	codeFirst
	codeOutcome
	codeLeft
	codeTimer
	codeProbed
	codePeer
	codeStop
)

// Codes of actions.
const (
	codeSend = 80 + iota
	codeRefuse
	codeFail
	codeCancel
	codeSetTimer
	codeProbe
	codeClose
	codeTell
	codeLog
	codeFault
	codeWatch
	codeFetch
)

// Begin starts an instance anew.
type InstanceStart struct {
	Seed     uint64
	Settings scheduler.Settings
}

// Record is one event for one instance: a start, a stop, or an event for the decision module.
type Record struct {
	Instance uint16
	Start    *InstanceStart
	Stop     bool
	Event    scheduler.Event
}

// Batch is all that came in at one time of the clock.
type Batch struct {
	Now     time.Duration
	Records []Record
}

// ReadBatch reads one frame. It returns io.EOF when the input ended before a frame began.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, errors.New("input ends inside a batch header")
		}
		return Batch{}, err
	}
	size := binary.LittleEndian.Uint32(head[4:])
	if size < batchHeader || size > maxFrame {
		return Batch{}, fmt.Errorf("bad frame length %d", size)
	}
	frame := make([]byte, size)
	copy(frame, head[:])
	if _, err := io.ReadFull(r, frame[batchHeader:]); err != nil {
		return Batch{}, errors.New("input ends inside a frame")
	}
	return DecodeBatch(frame)
}

// DecodeBatch decodes one whole frame.
func DecodeBatch(frame []byte) (Batch, error) {
	if len(frame) < batchHeader || int(binary.LittleEndian.Uint32(frame[4:])) != len(frame) {
		return Batch{}, errors.New("bad frame length")
	}
	count := binary.LittleEndian.Uint32(frame)
	d := &decoder{buf: frame[8:]}
	b := Batch{Now: d.span()}
	if int64(count)*recordHeader > int64(len(d.buf)) {
		return Batch{}, fmt.Errorf("%d records cannot fit in %d bytes", count, len(d.buf))
	}
	b.Records = make([]Record, 0, count)
	for n := range count {
		code, body := d.u8(), d.take(int64(d.u32()))
		if d.err != nil {
			return Batch{}, fmt.Errorf("record %d: %w", n, d.err)
		}
		rec, err := decodeRecord(code, body)
		if err != nil {
			return Batch{}, fmt.Errorf("record %d, code %d: %w", n, code, err)
		}
		b.Records = append(b.Records, rec)
	}
	if len(d.buf) > 0 || d.err != nil {
		return Batch{}, fmt.Errorf("frame has %d bytes past its last record", len(d.buf))
	}
	return b, nil
}

func decodeRecord(code uint8, body []byte) (Record, error) {
	d := &decoder{buf: body}
	rec := Record{Instance: d.u16()}
	switch code {
	case codeBegin:
		begin := &InstanceStart{Seed: d.u64()}
		info := string(d.take(int64(d.u32())))
		if d.err == nil {
			begin.Settings, d.err = ParseSettings(info)
		}
		rec.Start = begin
	case codeMembers:
		rec.Event = d.members()
	case codeRequest:
		rec.Event = d.request()
	case codeFirst:
		rec.Event = scheduler.ResponseStarted{
			ID:      d.u32(),
			Attempt: int(d.u8()),
			Server:  d.server(),
			Latency: d.span(),
		}
	case codeOutcome:
		rec.Event = d.outcome()
	case codeLeft:
		rec.Event = scheduler.ClientGone{ID: d.u32()}
	case codeTimer:
		rec.Event = scheduler.TimerFired{Token: d.u32()}
	case codeProbed:
		rec.Event = scheduler.HealthCheckResult{
			Server:  d.server(),
			Code:    scheduler.ResultCode(d.u16()),
			Latency: d.span(),
			Load:    d.load(),
		}
	case codePeer:
		rec.Event = scheduler.PeerMessage{From: d.u32(), Body: d.take(int64(d.u16()))}
	case codeStop:
		rec.Stop = true
	default:
		return rec, errors.New("unknown code")
	}
	if d.err == nil && len(d.buf) > 0 {
		d.err = fmt.Errorf("bad length: %d bytes too many", len(d.buf))
	}
	return rec, d.err
}

// decoder takes values off the front of a buffer; the first failure sticks.
type decoder struct {
	buf []byte
	err error
}

func (d *decoder) take(n int64) []byte {
	if d.err == nil && n > int64(len(d.buf)) {
		d.err = fmt.Errorf("%d bytes wanted, %d left", n, len(d.buf))
	}
	if d.err != nil {
		return nil
	}
	out := d.buf[:n]
	d.buf = d.buf[n:]
	return out
}

func (d *decoder) uint(width int64) (v uint64) {
	for i, b := range d.take(width) {
		v |= uint64(b) << (8 * i)
	}
	return v
}

func (d *decoder) u8() uint8   { return uint8(d.uint(1)) }
func (d *decoder) u16() uint16 { return uint16(d.uint(2)) }
func (d *decoder) u32() uint32 { return uint32(d.uint(4)) }
func (d *decoder) u64() uint64 { return d.uint(8) }

func (d *decoder) span() time.Duration {
	v := d.u64()
	if v > math.MaxInt64 && d.err == nil {
		d.err = fmt.Errorf("time %d is out of range", v)
	}
	return time.Duration(v)
}

func (d *decoder) f32() float64 {
	v := float64(math.Float32frombits(d.u32()))
	if d.err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		d.err = errors.New("a number is not finite")
	}
	return v
}

func (d *decoder) server() (s scheduler.Server) {
	copy(s.Addr[:], d.take(int64(len(s.Addr))))
	s.Port = d.u16()
	return s
}

func (d *decoder) load() []float64 {
	n := int(d.u8())
	if n == 0 || d.err != nil {
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = d.f32()
	}
	return out
}

func (d *decoder) members() scheduler.EndpointUpdate {
	m := scheduler.EndpointUpdate{Version: d.u64(), Kind: scheduler.UpdateKind(d.u8())}
	if m.Kind > scheduler.UpdateFailed && d.err == nil {
		d.err = fmt.Errorf("unknown list form %d", m.Kind)
	}
	n := int64(d.u32())
	if d.err == nil && n*entrySize > int64(len(d.buf)) {
		d.err = fmt.Errorf("%d entries cannot fit in %d bytes", n, len(d.buf))
	}
	for range n {
		if d.err != nil {
			break
		}
		m.Endpoints = append(m.Endpoints, d.entry())
	}
	return m
}

func (d *decoder) entry() scheduler.Endpoint {
	e := scheduler.Endpoint{
		Status:          scheduler.Status(d.u8()),
		Server:          d.server(),
		Cell:            d.u16(),
		MachineType:     d.u8(),
		StartedAt:       d.span(),
		Zone:            d.u8(),
		NominalCapacity: d.f32(),
	}
	if e.Status > scheduler.Draining && d.err == nil {
		d.err = fmt.Errorf("unknown status %d", e.Status)
	}
	return e
}

func (d *decoder) request() scheduler.Request {
	r := scheduler.Request{ID: d.u32(), Class: int(d.u8()), Cell: int(d.f32())}
	opts := d.u8()
	r.Retry, r.Write = opts&2 != 0, opts&4 != 0
	r.VolumeInstances, r.Plan, r.Key = int(d.f32()), int(d.u32()), d.u64()
	r.ExpiresAt, r.Volume, r.Units = d.span(), d.u64(), d.f32()
	return r
}

func (d *decoder) outcome() scheduler.AttemptResult {
	return scheduler.AttemptResult{
		ID:             d.u32(),
		Attempt:        int(d.u8()),
		Server:         d.server(),
		Code:           scheduler.ResultCode(d.u16()),
		Latency:        d.span(),
		RequestDone:    d.u8() != 0,
		MeteredRate:    int(d.u16()),
		ElsewhereUnits: float64(d.u16()),
		Load:           d.load(),
	}
}

// Reply gathers the actions of one batch into a frame.
type Reply struct{ buf []byte }

// NewReply starts an empty reply.
func NewReply() *Reply { return &Reply{buf: make([]byte, 4)} }

// Bytes closes the frame and returns it.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf, uint32(len(r.buf)))
	return r.buf
}

// Add appends an instance's action.
func (r *Reply) Add(instance uint16, a scheduler.Action) error {
	le := binary.LittleEndian
	b, code := le.AppendUint16(nil, instance), uint8(0)
	switch a := a.(type) {
	case scheduler.Send:
		code, b = codeSend, appendServer(le.AppendUint32(b, a.ID), a.Server)
		b = appendSpan(b, a.Timeout)
	case scheduler.Reject:
		code, b = codeRefuse, appendSpan(le.AppendUint32(b, a.ID), a.RetryAfter)
	case scheduler.Fail:
		code, b = codeFail, le.AppendUint32(b, a.ID)
	case scheduler.Cancel:
		code, b = codeCancel, append(le.AppendUint32(b, a.ID), uint8(a.Attempt))
	case scheduler.SetTimer:
		code, b = codeSetTimer, appendSpan(le.AppendUint32(b, a.Token), a.After)
	case scheduler.CheckHealth:
		code, b = codeProbe, appendServer(b, a.Server)
	case scheduler.CloseIdle:
		code, b = codeClose, appendServer(b, a.Server)
	case scheduler.SendToPeer:
		code, b = codeTell, appendText(le.AppendUint32(b, a.To), a.Body)
	case scheduler.WriteLog:
		code, b = codeLog, appendText(b, []byte(a.Text))
	case scheduler.WatchEndpoints:
		on := uint8(0)
		if a.On {
			on = 1
		}
		code, b = codeWatch, append(b, on)
	case scheduler.FetchEndpoints:
		code = codeFetch
	default:
		return fmt.Errorf("action %T has no wire form", a)
	}
	r.record(code, b)
	return nil
}

// Fault appends the news that an instance's decision code has failed.
func (r *Reply) Fault(instance uint16, text string) {
	r.record(codeFault, appendText(binary.LittleEndian.AppendUint16(nil, instance), []byte(text)))
}

func (r *Reply) record(code uint8, body []byte) {
	r.buf = binary.LittleEndian.AppendUint32(append(r.buf, code), uint32(len(body)))
	r.buf = append(r.buf, body...)
}

func appendServer(b []byte, s scheduler.Server) []byte {
	return binary.LittleEndian.AppendUint16(append(b, s.Addr[:]...), s.Port)
}

func appendSpan(b []byte, d time.Duration) []byte {
	return binary.LittleEndian.AppendUint64(b, uint64(max(d, 0)))
}

func appendText(b, text []byte) []byte {
	text = text[:min(len(text), maxText)]
	return append(binary.LittleEndian.AppendUint16(b, uint16(len(text))), text...)
}
