package http1

import (
	"io"
	"time"
)

// maxArrivals bounds the records of an arrivalLog. Clients rarely send more messages ahead than that.
const maxArrivals = 16

// ArrivalSource is a source that tells when the last byte of the data read last arrived.
type ArrivalSource interface {
	io.Reader
	LastArrival() time.Time
}

// arrivalLog records when the bytes of a stream arrived, from the byte that was looked up last.
type arrivalLog struct {
	source  ArrivalSource // nil: times of arrival are not known, nothing is recorded
	total   int64         // bytes recorded
	records []arrivalRecord
}

// arrivalRecord states when the bytes up to an offset of the stream arrived, from the record before.
type arrivalRecord struct {
	end int64
	at  time.Time
}

// record adds the arrival of count further bytes, which were just read. Beyond maxArrivals records, the bytes
// recorded last count as having arrived together with them.
func (l *arrivalLog) record(count int) {
	if l.source == nil {
		return
	}
	l.total += int64(count)
	arrived := arrivalRecord{l.total, l.source.LastArrival()}
	if len(l.records) < maxArrivals {
		l.records = append(l.records, arrived)
		return
	}
	l.records[len(l.records)-1] = arrived
}

// release frees the memory of the records.
func (l *arrivalLog) release() { l.records = nil }

// timeOf returns when the last byte arrived that precedes the last remaining bytes recorded; the zero time if
// there is none. It drops records of earlier bytes, so remaining must not grow except by record.
func (l *arrivalLog) timeOf(remaining int) time.Time {
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
