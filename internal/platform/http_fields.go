package platform

import "landingpaddle/internal/http1"

// Header fields, query parameters and paths that clients and disk servers use.
const (
	fieldID       = "X-Call-Id"
	fieldClass    = "X-Call-Class"
	fieldPlan     = "X-Storage-Class"
	fieldBudget   = "X-Budget" // the time left for the request, in seconds
	fieldExtent   = "X-Extent"
	fieldRetry    = "X-Again"
	fieldKey      = "Idempotency-Key"
	fieldReason   = "X-Reason"
	fieldMeter    = "X-Meter"
	fieldDelta    = "X-Delta"
	fieldRejected = "X-Rejected"

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
