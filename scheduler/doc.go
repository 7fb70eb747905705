// Package scheduler decides when the storage requests of one gateway instance are sent and to which node.
//
// A [Scheduler] queues requests per shard and dispatches them by start-time fair queueing, SFQ(D)+: in
// start-tag order, while the slot cost of the attempts in flight at the node stays within its depth, with
// capped backfill of small requests past a queue head that does not fit. Admission, slow start of restarted
// nodes, the retry budget, ordering by key, outlier detection, quotas and deadline shedding are each
// implemented in a separate file.
//
// The package does no I/O, reads no clock, starts no goroutine and draws random numbers only from its seed:
// the same events at the same times give the same actions. A driver passes each [Event] with a monotonic
// clock value to [Scheduler.Handle] and carries out the actions that [Scheduler.Decide] returns at the end of
// a batch. A Scheduler is owned by one goroutine; its methods must not be called concurrently.
//
// Requests are measured in units, the scheduler's measure of cost; they are never bytes. Clock values count
// from an origin of the driver's choice and must be positive.
package scheduler
