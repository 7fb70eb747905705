package http1

import (
	"strconv"
	"strings"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Header holds the fields of a head in their original order.
type Header []Field

// Get returns the value of the first field with a name, and the number of fields with that name. Names are
// compared case-insensitively.
func (h Header) Get(name string) (value string, count int) {
	for _, field := range h {
		if strings.EqualFold(field.Name, name) {
			if count == 0 {
				value = field.Value
			}
			count++
		}
	}
	return value, count
}

// hasElement reports whether a comma-separated field with a name contains an element. Both are compared
// case-insensitively.
func (h Header) hasElement(name, element string) bool {
	for _, field := range h {
		if !strings.EqualFold(field.Name, name) {
			continue
		}
		for listed := range strings.SplitSeq(field.Value, ",") {
			if strings.EqualFold(trimSpace(listed), element) {
				return true
			}
		}
	}
	return false
}

// closesConnection reports whether the connection ends after a message with this header and version.
func (h Header) closesConnection(version string) bool {
	return version == version10 || h.hasElement("Connection", "close")
}

// lengthUnstated is the length of a body whose head does not state a length.
const lengthUnstated = -1

// framing describes how the end of a body is determined.
type framing struct {
	chunked bool
	length  int64 // bytes, or lengthUnstated; 0 if chunked
}

// framing returns the framing that a head states. More than one framing field is an error, because two
// parsers could find different ends of the message.
func (h Header) framing() (framing, error) {
	lengthText, lengths := h.Get("Content-Length")
	coding, codings := h.Get("Transfer-Encoding")
	switch {
	case lengths > 1:
		return framing{}, malformed("Content-Length stands twice")
	case codings > 1:
		return framing{}, malformed("Transfer-Encoding stands twice")
	case lengths > 0 && codings > 0:
		return framing{}, malformed("Content-Length and Transfer-Encoding contradict each other")
	case codings > 0:
		if !strings.EqualFold(coding, "chunked") {
			return framing{}, errUnknownCoding
		}
		return framing{chunked: true}, nil
	case lengths == 0:
		return framing{length: lengthUnstated}, nil
	}
	length, err := parseContentLength(lengthText)
	return framing{length: length}, err
}

// parseContentLength accepts digits only: strconv would accept a sign.
func parseContentLength(text string) (int64, error) {
	if text == "" || strings.Trim(text, "0123456789") != "" {
		return 0, malformed("Content-Length is no number")
	}
	length, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errLengthRange
	}
	return length, nil
}

// readHeader reads header fields up to the empty line that ends them.
func (r *Reader) readHeader(budget *int) (Header, error) {
	var header Header
	for {
		line, err := r.readLine(budget)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return header, nil
		}
		field, err := parseField(line)
		if err != nil {
			return nil, err
		}
		if len(header) == maxHeaderFields {
			return nil, errTooManyFields
		}
		header = append(header, field)
	}
}

func parseField(line string) (Field, error) {
	if line[0] == ' ' || line[0] == '\t' {
		return Field{}, malformed("a header line is folded")
	}
	name, value, hasColon := strings.Cut(line, ":")
	if !hasColon || !isToken(name) {
		return Field{}, malformed("a header line has no proper name")
	}
	return Field{Name: name, Value: trimSpace(value)}, nil
}

// trimSpace removes the optional white space of RFC 9110 around a value.
func trimSpace(value string) string { return strings.Trim(value, " \t") }
