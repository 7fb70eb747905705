// Package checkpoint decides which learned statistics of an instance are still valid in its next incarnation,
// after a restart or a migration to other settings.
//
// The following are restored if the scale of units is unchanged: the latency of a node, if the same
// incarnation of that node is listed as ready; the sizes and latencies of a class, if a class of that name
// still exists with the same direction (read or write); the latencies over all classes, if the classes are
// the same.
//
// Everything else starts from defaults: concurrency limits, failures and backoffs depend on the current load
// and objectives; quotas, reserves, the retry budget, sends to cold nodes and records of attempts that may
// have run are never restored, since a guarantee depends on each.
//
// The package does no I/O, reads no clock and starts no goroutine. The fields of [Record] are stored under
// the names in their tags, which must not change.
package checkpoint
