package proto

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits on the structure of a received header.
const (
	maxHeaderNesting = 8
	maxArrayElements = 1 << 16
	maxMapPairs      = 256
)

// Headers are CBOR maps (RFC 8949) with small integers as keys. A received header must stay within the limits
// and must not repeat a key. It may contain unknown keys, so that later versions can add keys.
var (
	headerEncoder = newHeaderEncoder()
	headerDecoder = newHeaderDecoder()
)

func newHeaderEncoder() cbor.UserBufferEncMode {
	encoder, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return encoder
}

func newHeaderDecoder() cbor.DecMode {
	decoder, err := cbor.DecOptions{
		MaxNestedLevels:  maxHeaderNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return decoder
}

// Decode decodes a frame's header into message, a pointer to one of the message types.
func (f Frame) Decode(message any) error {
	if err := headerDecoder.Unmarshal(f.Header, message); err != nil {
		return fmt.Errorf("%v header: %w", f.Type, err)
	}
	return nil
}
