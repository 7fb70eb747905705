package platform

import (
	"math"
	"runtime"
	"runtime/debug"
)

// Bounds of HTTP messages, in bytes.
const (
	maxBody         = 64 << 10 // of requests and responses, by the protocol
	maxClientHead   = 8 << 10  // of a request's head
	maxUpstreamHead = 8 << 10  // of a response's head
)

// resourceLimits divides the machine's limits among their uses.
type resourceLimits struct {
	clients      int   // open client connections
	lingering    int   // client connections that are closing, besides the open ones
	keptIdle     int   // client connections that may idle for maxIdleTime
	upstream     int   // connections to disk servers
	openRequests int   // requests in flight
	usedIDs      int   // ids of requests that may have run, to remember
	bodyBytes    int64 // limit of frontend.bodyBytes
	memoryBytes  int64 // soft memory limit of the Go runtime
}

const (
	// reservedSockets are set aside for discovery, datagrams, the listener, logs and the runtime, and for
	// accepted connections that are closed at once.
	reservedSockets = 24
	// clientSocketsPercent is the share of the unreserved sockets for client connections.
	clientSocketsPercent = 60
	// lingeringDivisor divides the client connections; the quotient is the number that may linger.
	lingeringDivisor = 16
	minLingering     = 2
	// keptIdleDivisor divides all sockets; the quotient is the number of connections that may idle for
	// maxIdleTime. Clients hold at most a third of the sockets, and a connection that a client never closes
	// is not available to the next request, so less than a third may idle.
	keptIdleDivisor = 4
	// bodyMemoryDivisor divides the memory; the quotient is the limit of request bodies in flight.
	bodyMemoryDivisor = 8
	// usedIDMemoryDivisor divides the memory; the quotient is the memory for ids of requests that may have
	// run, each of which takes about usedIDBytes.
	usedIDMemoryDivisor, usedIDBytes = 64, 128
	// The runtime's memory limit is at most this share of the machine's memory, and of what programBytes
	// leaves of it.
	memoryLimitPercent, remainingMemoryPercent = 60, 90
	// programBytes is the memory of the program's text and data, which the runtime's limit does not include.
	programBytes = 12 << 20
)

// limitsFor divides the machine's resources. Clients get more connections than they usually need, as some of
// them hold connections without using them.
func limitsFor(config *Config) resourceLimits {
	available := config.Limits.Sockets - reservedSockets
	memory := int64(config.Limits.MemoryMB) << 20
	clients := available * clientSocketsPercent / 100
	lingering := max(minLingering, clients/lingeringDivisor)
	limits := resourceLimits{
		clients:      clients - lingering,
		lingering:    lingering,
		keptIdle:     config.Limits.Sockets / keptIdleDivisor,
		upstream:     available - clients,
		openRequests: clients - lingering,
		usedIDs:      int(memory / usedIDMemoryDivisor / usedIDBytes),
		bodyBytes:    memory / bodyMemoryDivisor,
		memoryBytes:  runtimeMemory(memory),
	}
	if maxOpen := config.Site.MaxOpenRequests; maxOpen > 0 {
		limits.openRequests = min(limits.openRequests, maxOpen)
	}
	return limits
}

// runtimeMemory returns the soft memory limit of the Go runtime in bytes for a machine's memory.
func runtimeMemory(memory int64) int64 {
	remaining := max(memory-programBytes, memory/4)
	return min(memory*memoryLimitPercent/100, remaining*remainingMemoryPercent/100)
}

// ApplyRuntimeLimits sets the Go runtime's number of processors and its soft memory limit from the machine's
// limits in the configuration. It changes the whole process.
func ApplyRuntimeLimits(config *Config) {
	if cores := config.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	}
	debug.SetMemoryLimit(limitsFor(config).memoryBytes)
}
