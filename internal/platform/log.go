package platform

// Log messages.
const (
	messageStarted         = "scheduler started"
	messageShutdownStarted = "graceful shutdown started"
	messageStopped         = "scheduler stopped"
	messageReloaded        = "configuration read again"
	messageStatus          = "connection statistics"
	messageNodeStates      = "node states"
	messageRequestRejected = "request rejected"
	messageInvalidRequest  = "invalid request"
	messageConnectFailed   = "connection to disk server failed"
	messageInvalidResponse = "invalid response from disk server"
)

// Attribute keys of log messages.
const (
	attrName      = "name"
	attrError     = "error"
	attrReason    = "reason"
	attrStatus    = "status"
	attrCause     = "cause"
	attrRequestID = "request_id"
	attrNode      = "node"
	attrNodes     = "nodes"
	attrListen    = "listen"
	attrDiscovery = "discovery"
	attrCounters  = "counters"

	attrMaxClients  = "max_clients"
	attrMaxUpstream = "max_upstream"
	attrMemoryLimit = "memory_limit"

	attrAcceptFor    = "accept_for"
	attrAnswerWithin = "answer_within"

	attrStatistics = "statistics"

	// Client connections by state.
	attrClientsSilent    = "clients_silent"
	attrClientsReading   = "clients_reading"
	attrClientsIdle      = "clients_idle"
	attrClientsWorking   = "clients_working"
	attrClientsLingering = "clients_lingering"

	// Client connections and requests, counted since the start.
	attrClientsAccepted     = "clients_accepted"
	attrClientsRefused      = "clients_refused"
	attrClientsUnread       = "clients_unread"
	attrClientsRoomWait     = "clients_room_wait_us"
	attrClientsEvicted      = "clients_evicted"
	attrClientsNeverSent    = "clients_never_sent"
	attrRequestsInvalid     = "requests_invalid"
	attrRequestsDuplicateID = "requests_duplicate_id"
	attrRequestsOverLimit   = "requests_over_limit"

	// Current connections to disk servers.
	attrUpstreamConnections = "upstream_connections"
	attrUpstreamIdle        = "upstream_idle"

	// Connections to disk servers, counted since the start.
	attrUpstreamDialed      = "upstream_dialed"
	attrUpstreamReused      = "upstream_reused"
	attrUpstreamStale       = "upstream_stale"
	attrUpstreamInvalid     = "upstream_invalid"
	attrUpstreamUnsolicited = "upstream_unsolicited"
	attrUpstreamExhausted   = "upstream_exhausted"

	// The process.
	attrHeapKB     = "heap_kb"
	attrSystemKB   = "sys_kb"
	attrGoroutines = "goroutines"
)
