package http1

import (
	"errors"
	"strings"
	"testing"
)

var testLimits = Limits{MaxHead: 2048, MaxBody: 4096}

const requestFields = "Host: a\r\nX-Call-Id: 1\r\n"

// newTestReader returns a Reader of a text with testLimits.
func newTestReader(text string) *Reader { return NewReader(strings.NewReader(text), testLimits) }

// hasStatus reports whether err is an *Error with a status.
func hasStatus(t *testing.T, err error, status int) bool {
	t.Helper()
	var rejected *Error
	return errors.As(err, &rejected) && rejected.Status == status
}
