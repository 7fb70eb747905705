package sexpr

import (
	"errors"
	"fmt"
)

// Error is an error at a place of the input.
type Error struct {
	Pos     Pos
	Message string
}

// Error returns the place and the text.
func (e *Error) Error() string { return e.Pos.String() + ": " + e.Message }

// Errorf returns an *Error at a place.
func Errorf(pos Pos, format string, args ...any) error {
	return &Error{Pos: pos, Message: fmt.Sprintf(format, args...)}
}

// WrapError gives an error a place unless it is nil or has one. The result keeps the text only.
func WrapError(pos Pos, err error) error {
	var placed *Error
	if err == nil || errors.As(err, &placed) {
		return err
	}
	return &Error{Pos: pos, Message: err.Error()}
}
