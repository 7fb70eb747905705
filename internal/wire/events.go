package wire

import (
	"errors"
	"fmt"

	"landingpaddle/scheduler"
)

// Codes of events.
const (
	codeStart = 16 + iota
	codeEndpointUpdate
	codeRequest
	codeResponseStarted
	codeAttemptResult
	codeRequestWithdrawn
	codeTimerFired
	codeHealthCheckResult
	codePeerMessage
	codeStop
)

// Option bits of a request.
const (
	optionRetry = 1 << 1
	optionWrite = 1 << 2
)

// endpointSize is the size in bytes of one endpoint in an update.
const endpointSize = 23

func decodeRecord(code uint8, body []byte) (Record, error) {
	d := &decoder{rest: body}
	record := Record{Instance: d.uint16()}
	switch code {
	case codeStart:
		record.Start = d.instanceStart()
	case codeStop:
		record.Stop = true
	default:
		record.Event = d.event(code)
		if record.Event == nil {
			return record, errors.New("unknown code")
		}
	}
	if len(d.rest) > 0 {
		d.fail(fmt.Errorf("record is %d bytes too long", len(d.rest)))
	}
	return record, d.err
}

// event decodes the event with a code; nil if the code is unknown.
func (d *decoder) event(code uint8) scheduler.Event {
	switch code {
	case codeEndpointUpdate:
		return d.endpointUpdate()
	case codeRequest:
		return d.request()
	case codeResponseStarted:
		return d.responseStarted()
	case codeAttemptResult:
		return d.attemptResult()
	case codeRequestWithdrawn:
		return scheduler.RequestWithdrawn{ID: d.uint32()}
	case codeTimerFired:
		return scheduler.TimerFired{Token: d.uint32()}
	case codeHealthCheckResult:
		return d.healthCheckResult()
	case codePeerMessage:
		return scheduler.PeerMessage{From: d.uint32(), Body: d.take(int64(d.uint16()))}
	}
	return nil
}

func (d *decoder) instanceStart() *InstanceStart {
	start := &InstanceStart{Seed: d.uint64()}
	settings := string(d.take(int64(d.uint32())))
	if d.err == nil {
		start.Settings, d.err = ParseSettings(settings)
	}
	return start
}

func (d *decoder) endpointUpdate() scheduler.EndpointUpdate {
	update := scheduler.EndpointUpdate{Version: d.uint64(), Kind: scheduler.UpdateKind(d.uint8())}
	if update.Kind > scheduler.UpdateFailed {
		d.fail(fmt.Errorf("unknown endpoint update kind %d", update.Kind))
	}
	count := int64(d.uint32())
	if count*endpointSize > int64(len(d.rest)) {
		d.fail(fmt.Errorf("%d endpoints cannot fit in %d bytes", count, len(d.rest)))
	}
	for range count {
		if d.err != nil {
			break
		}
		update.Endpoints = append(update.Endpoints, d.endpoint())
	}
	return update
}

func (d *decoder) endpoint() scheduler.Endpoint {
	// The fields are in the order in which they are encoded.
	endpoint := scheduler.Endpoint{
		Status:          scheduler.Status(d.uint8()),
		Server:          d.server(),
		Cell:            d.uint16(),
		MachineType:     d.uint8(),
		StartedAt:       d.duration(),
		Zone:            d.uint8(),
		NominalCapacity: d.float32(),
	}
	if endpoint.Status > scheduler.Draining {
		d.fail(fmt.Errorf("unknown status %d", endpoint.Status))
	}
	return endpoint
}

func (d *decoder) request() scheduler.Request {
	// The protocol encodes the integers Cell and VolumeInstances as floats.
	request := scheduler.Request{ID: d.uint32(), Class: int(d.uint8()), Cell: int(d.float32())}
	options := d.uint8()
	request.Retry = options&optionRetry != 0
	request.Write = options&optionWrite != 0
	request.VolumeInstances = int(d.float32())
	request.Plan = int(d.uint32())
	request.Key = d.uint64()
	request.ExpiresAt = d.duration()
	request.Volume = d.uint64()
	request.Units = d.float32()
	return request
}

func (d *decoder) responseStarted() scheduler.ResponseStarted {
	return scheduler.ResponseStarted{
		ID:      d.uint32(),
		Attempt: int(d.uint8()),
		Server:  d.server(),
		Latency: d.duration(),
	}
}

func (d *decoder) attemptResult() scheduler.AttemptResult {
	return scheduler.AttemptResult{
		ID:             d.uint32(),
		Attempt:        int(d.uint8()),
		Server:         d.server(),
		Code:           scheduler.ResultCode(d.uint16()),
		Latency:        d.duration(),
		RequestDone:    d.uint8() != 0,
		MeteredRate:    int(d.uint16()),
		ElsewhereUnits: float64(d.uint16()),
		Load:           d.load(),
	}
}

func (d *decoder) healthCheckResult() scheduler.HealthCheckResult {
	return scheduler.HealthCheckResult{
		Server:  d.server(),
		Code:    scheduler.ResultCode(d.uint16()),
		Latency: d.duration(),
		Load:    d.load(),
	}
}

func (d *decoder) server() (server scheduler.Server) {
	copy(server.Addr[:], d.take(int64(len(server.Addr))))
	server.Port = d.uint16()
	return server
}

// load decodes a load report; nil if it has no values.
func (d *decoder) load() []float64 {
	count := int(d.uint8())
	if count == 0 || d.err != nil {
		return nil
	}
	load := make([]float64, count)
	for i := range load {
		load[i] = d.float32()
	}
	return load
}
