package platform

import "landingpaddle/internal/http1"

// Header fields, query parameters and paths that clients and disk servers use.
const (
	fieldID       = "X-Call-Id"
	fieldClass    = "X-Call-Class"
	fieldPlan     = "X-Storage-Class"
	fieldBudget   = "X-Budget" // the time left for the request, in seconds
	fieldExtent   = "X-Extent" // volume, units, shard and number of instances
	fieldRetry    = "X-Again"  // "1": the client marks its request as a retry
	fieldKey      = "Idempotency-Key"
	fieldReason   = "X-Reason"
	fieldMeter    = "X-Meter"    // percent of the plan's rate at which the volume was served
	fieldDelta    = "X-Delta"    // units served for the volume through other instances
	fieldRejected = "X-Rejected" // "1": the disk server has rejected the request, which has not run

	fieldConnection  = "Connection"
	fieldContentType = "Content-Type"
	fieldExpect      = "Expect"
	fieldHost        = "Host"
	fieldRetryAfter  = "Retry-After"

	connectionClose = "close"
	queryExtent     = "extent"
	pathHealth      = "/healthz"
)

// withConnectionClose adds Connection: close to the fields of a connection's last answer.
func withConnectionClose(header http1.Header, isLast bool) http1.Header {
	if isLast {
		header = append(header, http1.Field{Name: fieldConnection, Value: connectionClose})
	}
	return header
}
