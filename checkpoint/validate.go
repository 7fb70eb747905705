package checkpoint

import (
	"fmt"
	"math"
	"time"

	"landingpaddle/scheduler"
)

const (
	// MaxAge is the age beyond which a record is not restored.
	MaxAge = time.Hour
	// maxLatency is the largest plausible latency.
	maxLatency = time.Hour
	// maxRegressionValue is the largest plausible value in a regression.
	maxRegressionValue = 1e12
	// maxClockAhead is the longest time by which a record may be ahead of this machine's clock.
	maxClockAhead = time.Minute
)

// InvalidRecordError reports why a record cannot be restored at all.
type InvalidRecordError struct {
	Field  string // of the Record
	Reason string
}

// Error returns the reason.
func (e *InvalidRecordError) Error() string { return e.Reason }

func invalid(field, format string, args ...any) error {
	return &InvalidRecordError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate checks that a record is of the current instance, neither too old nor in the future, complete and
// plausible. The wall time is in Unix nanoseconds. The error is an *InvalidRecordError.
func (r Record) Validate(wall int64, current Fingerprint) error {
	if err := r.validateOrigin(wall, current); err != nil {
		return err
	}
	if !validLatency(r.MedianLatency) || !validLatency(r.RecentLatency) || !validRegression(r.AllClasses) {
		return invalid("AllClasses", "its statistics over all classes are out of range")
	}
	for i, class := range r.Classes {
		if !validClass(class, r.Fingerprint.MaxUnits) {
			return invalid("Classes", "its statistics of class %s are out of range",
				r.Fingerprint.Classes[i].Name)
		}
	}
	for _, node := range r.Nodes {
		if !validLatency(node.Statistics.Latency) || !validLatency(node.Statistics.Deviation) {
			return invalid("Nodes", "its statistics of a node are out of range")
		}
	}
	return nil
}

// validateOrigin checks the record's age and instance, and that it has statistics of as many classes as it
// names.
func (r Record) validateOrigin(wall int64, current Fingerprint) error {
	age := time.Duration(wall - r.WrittenAt)
	classes, named := len(r.Classes), len(r.Fingerprint.Classes)
	switch {
	case r.WrittenAt == 0:
		return invalid("WrittenAt", "it has no time of writing")
	case r.Fingerprint.Instance != current.Instance:
		return invalid("Fingerprint", "it is of instance %d, this is instance %d", r.Fingerprint.Instance,
			current.Instance)
	case r.WrittenAt > wall+int64(maxClockAhead):
		return invalid("WrittenAt", "it was written %v in the future", (-age).Round(time.Second))
	case age > MaxAge:
		return invalid("WrittenAt", "it is %v old, over %v", age.Round(time.Second), MaxAge)
	case classes != named:
		return invalid("Classes", "it has statistics of %d classes but names %d", classes, named)
	}
	return nil
}

func validClass(class scheduler.ClassStatistics, maxUnits float64) bool {
	return inRange(class.MeanUnits, maxUnits) && inRange(class.Count, math.MaxUint32) &&
		validRegression(class.Latency)
}

func validLatency(d time.Duration) bool { return d >= 0 && d <= maxLatency }

func validRegression(g scheduler.Regression) bool {
	for _, value := range []float64{g.Count, g.MeanSize, g.MeanTime, g.MeanSquare, g.MeanProduct} {
		if !inRange(value, maxRegressionValue) {
			return false
		}
	}
	return g.Count == 0 || g.MeanTime > 0
}

// inRange reports whether a value is between 0 and a maximum, inclusive; false for NaN.
func inRange(value, maximum float64) bool { return value >= 0 && value <= maximum }
