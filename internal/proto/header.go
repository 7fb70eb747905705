package proto

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds on a header that is read.
const (
	maxHeaderNesting = 8
	maxArrayElements = 1 << 16
	maxMapPairs      = 256
)

// Headers are CBOR (RFC 8949) with small whole numbers as keys. What is read is bounded, may not repeat a
// key, and may contain keys that are not known, so that later versions can add some.
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

// Decode reads a frame's header into message, a pointer to one of the message types.
func (f Frame) Decode(message any) error {
	if err := headerDecoder.Unmarshal(f.Header, message); err != nil {
		return fmt.Errorf("%v header: %w", f.Type, err)
	}
	return nil
}
