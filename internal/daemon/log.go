package daemon

// Attribute keys of log messages. docs/ops lists the messages for operators.
const (
	keyAge              = "age"         // time since the call was received
	keyAllClasses       = "all_classes" // whether the regression over all classes was restored
	keyAttempts         = "attempts"
	keyBaseVersion      = "base_version" // version of the list that an update changes
	keyCause            = "cause"
	keyCell             = "cell"
	keyClasses          = "classes" // number of classes with restored statistics
	keyClient           = "client"  // number in the client's Hello
	keyCode             = "code"
	keyCounters         = "all" // group of the counters of Stats
	keyDataVolume       = "data_volume"
	keyError            = "error"
	keyInFlight         = "in_flight" // number of operations
	keyInstance         = "instance"
	keyInstances        = "instances"
	keyLastReason       = "last_reason" // reason of the last attempt
	keyLength           = "length"      // bytes
	keyListener         = "listener"    // address for clients
	keyNode             = "node"
	keyNodes            = "nodes"
	keyOffset           = "offset" // bytes
	keyPath             = "path"
	keyReason           = "reason"
	keyRegistry         = "registry"           // address
	keyRequestsInFlight = "requests_in_flight" // includes queued requests
	keyRetryAfter       = "retry_after"
	keyRole             = "role"
	keySavedNodes       = "saved_nodes"
	keySource           = "source" // of an endpoint change that is not from the list
	keyState            = "state"
	keyStatus           = "status"
	keyText             = "text"
	keyToken            = "token" // the client's identifier of its request
	keyVersion          = "version"
)
