// Package checkpoint decides which learned statistics of an instance are still valid in its next incarnation,
// after a restart or a migration to other settings.
//
// Restored are: the latency of a node, where the same incarnation of that node is listed and a unit means the
// same; the sizes and latencies of a class, where a class of that name still reads or writes; the latency of
// the usual request, where the classes are the same. All else starts afresh: concurrency limits, failures and
// backoffs depend on the load and the objectives of the day; quotas, reserves, the retry budget, sends to
// cold nodes and what may have run are never restored, since a guarantee rests on each.
//
// The package does no I/O, reads no clock and starts no goroutine. The fields of [Record] are stored under
// the names in their tags, which must not change.
package checkpoint
