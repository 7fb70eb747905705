package proto

// Limits bound what one connection accepts from the other side.
type Limits struct {
	MaxHeader  int // bytes of one header
	MaxPayload int // bytes of one payload
	MaxStreams int // requests in flight
	MaxBacklog int // bytes waiting to be written
}

// DefaultLimits fit object reads and writes of a few MiB.
var DefaultLimits = Limits{MaxHeader: 4 << 10, MaxPayload: 8 << 20, MaxStreams: 1024, MaxBacklog: 32 << 20}

// The backlog of LimitsFor holds some payloads and their headers.
const (
	backlogPayloads = 4
	backlogHeaders  = 1 << 20 // bytes
)

// LimitsFor returns limits for payloads of up to a number of bytes: a few of them may wait to be written.
func LimitsFor(payload, streams int) Limits {
	return Limits{
		MaxHeader:  DefaultLimits.MaxHeader,
		MaxPayload: payload,
		MaxStreams: streams,
		MaxBacklog: backlogPayloads*payload + backlogHeaders,
	}
}
