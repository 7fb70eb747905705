package sexpr

import (
	"errors"
	"fmt"
)

// Error is an error at a position in the input.
type Error struct {
	Pos     Pos
	Message string
}

// Error returns the position and the message.
func (e *Error) Error() string { return e.Pos.String() + ": " + e.Message }

// Errorf returns an *Error at a position.
func Errorf(pos Pos, format string, args ...any) error {
	return &Error{Pos: pos, Message: fmt.Sprintf(format, args...)}
}

// WithPos returns an *Error with the position and the text of err, which it does not wrap. It returns err
// itself if that is nil or already has a position.
func WithPos(pos Pos, err error) error {
	var positioned *Error
	if err == nil || errors.As(err, &positioned) {
		return err
	}
	return &Error{Pos: pos, Message: err.Error()}
}
