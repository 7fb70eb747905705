package arrival

import (
	"io"
	"time"
)

// maxRecords bounds the records of a Log. Clients rarely send more messages ahead than that.
const maxRecords = 16

// Source is a reader that tells when the last byte of the data read last arrived.
type Source interface {
	io.Reader
	LastArrival() time.Time
}

// Log records when the bytes of a stream arrived, so that a buffering reader can tell it of each message.
// Bytes that were read together count as having arrived together, with the last of them.
type Log struct {
	source  Source // nil: times of arrival are not known, nothing is recorded
	total   int64  // bytes recorded
	records []record
}

// record states when the bytes up to an offset of the stream arrived, from the record before.
type record struct {
	end int64
	at  time.Time
}

// NewLog returns a log of the bytes that are read from a reader. If that is not a Source, the log is empty.
func NewLog(reader io.Reader) Log {
	source, _ := reader.(Source)
	return Log{source: source}
}

// Record adds the arrival of count further bytes, which were just read. Beyond maxRecords records, the bytes
// recorded last count as having arrived together with them.
func (l *Log) Record(count int) {
	if l.source == nil || count == 0 {
		return
	}
	l.total += int64(count)
	arrived := record{l.total, l.source.LastArrival()}
	if len(l.records) < maxRecords {
		l.records = append(l.records, arrived)
		return
	}
	l.records[len(l.records)-1] = arrived
}

// TimeOf returns when the last byte arrived that precedes the last remaining bytes recorded; the zero time if
// that is not known. It drops the records of earlier bytes, so it cannot be asked for those again.
func (l *Log) TimeOf(remaining int) time.Time {
	offset := l.total - int64(remaining)
	if offset <= 0 || len(l.records) == 0 {
		return time.Time{}
	}
	first := 0
	for l.records[first].end < offset {
		first++
	}
	l.records = append(l.records[:0], l.records[first:]...)
	return l.records[0].at
}

// Release frees the memory of the records, once all bytes recorded are consumed.
func (l *Log) Release() { l.records = nil }
