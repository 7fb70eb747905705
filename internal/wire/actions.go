package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"landingpaddle/scheduler"
)

// Codes of actions.
const (
	codeSend = 80 + iota
	codeReject
	codeFail
	codeCancel
	codeSetTimer
	codeCheckHealth
	codeCloseIdle
	codeSendToPeer
	codeWriteLog
	codeFault
	codeWatchEndpoints
	codeFetchEndpoints
)

const (
	replyHeaderSize = 4              // bytes; the header is the length of the frame
	maxTextLength   = math.MaxUint16 // bytes; a longer text is truncated
)

// Reply is a frame of the encoded actions that answer one batch.
type Reply struct{ frame []byte }

// NewReply returns an empty reply.
func NewReply() *Reply { return &Reply{frame: make([]byte, replyHeaderSize)} }

// Bytes completes the frame and returns it. The slice is valid until the next call of Add or AddFault.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.frame, uint32(len(r.frame)))
	return r.frame
}

// Add appends an instance's action. It returns an error for an action that the protocol does not define.
func (r *Reply) Add(instance uint16, action scheduler.Action) error {
	body := binary.LittleEndian.AppendUint16(nil, instance)
	switch action := action.(type) {
	case scheduler.Send:
		body = appendServer(appendUint32(body, action.ID), action.Server)
		r.addRecord(codeSend, appendDuration(body, action.Timeout))
	case scheduler.Reject:
		r.addRecord(codeReject, appendDuration(appendUint32(body, action.ID), action.RetryAfter))
	case scheduler.Fail:
		r.addRecord(codeFail, appendUint32(body, action.ID))
	case scheduler.Cancel:
		r.addRecord(codeCancel, append(appendUint32(body, action.ID), uint8(action.Attempt)))
	case scheduler.SetTimer:
		r.addRecord(codeSetTimer, appendDuration(appendUint32(body, action.Token), action.After))
	case scheduler.CheckHealth:
		r.addRecord(codeCheckHealth, appendServer(body, action.Server))
	case scheduler.CloseIdle:
		r.addRecord(codeCloseIdle, appendServer(body, action.Server))
	case scheduler.SendToPeer:
		r.addRecord(codeSendToPeer, appendText(appendUint32(body, action.To), action.Body))
	case scheduler.WriteLog:
		r.addRecord(codeWriteLog, appendText(body, []byte(action.Text)))
	case scheduler.WatchEndpoints:
		r.addRecord(codeWatchEndpoints, appendBool(body, action.On))
	case scheduler.FetchEndpoints:
		r.addRecord(codeFetchEndpoints, body)
	default:
		return fmt.Errorf("action %T is not defined in the protocol", action)
	}
	return nil
}

// AddFault appends a report that an instance's scheduler has failed.
func (r *Reply) AddFault(instance uint16, text string) {
	body := binary.LittleEndian.AppendUint16(nil, instance)
	r.addRecord(codeFault, appendText(body, []byte(text)))
}

func (r *Reply) addRecord(code uint8, body []byte) {
	r.frame = appendUint32(append(r.frame, code), uint32(len(body)))
	r.frame = append(r.frame, body...)
}

func appendUint32(body []byte, value uint32) []byte {
	return binary.LittleEndian.AppendUint32(body, value)
}

func appendBool(body []byte, value bool) []byte {
	if value {
		return append(body, 1)
	}
	return append(body, 0)
}

func appendServer(body []byte, server scheduler.Server) []byte {
	return binary.LittleEndian.AppendUint16(append(body, server.Addr[:]...), server.Port)
}

// appendDuration appends a time in nanoseconds; a negative one is written as 0.
func appendDuration(body []byte, duration time.Duration) []byte {
	return binary.LittleEndian.AppendUint64(body, uint64(max(duration, 0)))
}

// appendText appends a text, truncated to maxTextLength, preceded by its length in bytes.
func appendText(body, text []byte) []byte {
	text = text[:min(len(text), maxTextLength)]
	return append(binary.LittleEndian.AppendUint16(body, uint16(len(text))), text...)
}
