package platform

import (
	"hash/fnv"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"landingpaddle/internal/http1"
	"landingpaddle/scheduler"
)

const (
	maxIDLength   = 128
	maxClientWait = time.Hour
	hex16Digits   = 16
	// decimalCharacters are the characters allowed in numbers of header fields; Go's parser accepts more.
	decimalCharacters = "0123456789."
)

// Names in the X-Extent field.
const (
	extentVolume    = "volume"
	extentUnits     = "units"
	extentShard     = "shard"
	extentInstances = "hosts"
)

// forwardedFields are forwarded to the disk server unchanged.
var forwardedFields = []string{fieldID, fieldClass, fieldPlan, fieldExtent, fieldKey, fieldContentType}

func badRequest(reason string) error {
	return &http1.Error{Status: http.StatusBadRequest, Reason: reason}
}

// requiredFields are the values of the fields that every request must contain exactly once.
type requiredFields struct{ id, class, plan, budget, extent string }

func readRequiredFields(header http1.Header) (fields requiredFields, err error) {
	for _, field := range []struct {
		name  string
		value *string
	}{
		{fieldID, &fields.id}, {fieldClass, &fields.class}, {fieldPlan, &fields.plan},
		{fieldBudget, &fields.budget}, {fieldExtent, &fields.extent},
	} {
		if *field.value, err = requireSingleField(header, field.name); err != nil {
			return fields, err
		}
	}
	return fields, nil
}

// requireSingleField returns the value of a field that must appear exactly once.
func requireSingleField(header http1.Header, name string) (string, error) {
	value, count := header.Get(name)
	if count != 1 || value == "" {
		return "", badRequest(name + " is missing or stands twice")
	}
	return value, nil
}

// validate checks a request's head and sets the values of request and its call. Its errors are *http1.Error.
func (f *frontend) validate(request *inFlightRequest, head *http1.Request) error {
	fields, err := readRequiredFields(head.Header)
	if err != nil {
		return err
	}
	if len(fields.id) > maxIDLength {
		return badRequest(fieldID + " is too long")
	}
	call := request.call
	request.id, call.Token = fields.id, tokenOf(fields.id)
	if err := f.parseClassAndPlan(&call.Request, fields); err != nil {
		return err
	}
	class := &f.site.Settings.Classes[call.Request.Class]
	if call.Timeout, err = parseClientWait(fields.budget, class); err != nil {
		return err
	}
	if call.Request.Key, err = parseExtentQuery(head.Target); err != nil {
		return err
	}
	if err := f.parseExtentField(&call.Request, fields.extent); err != nil {
		return err
	}
	if err := validateIdempotencyKey(head.Header, class); err != nil {
		return err
	}
	if call.Request.Retry, err = parseRetryMark(head.Header); err != nil {
		return err
	}
	call.Request.Write = head.Method == http.MethodPut
	request.forwarded = selectForwarded(head.Header)
	return nil
}

func (f *frontend) parseClassAndPlan(request *scheduler.Request, fields requiredFields) error {
	if request.Class = slices.Index(f.site.Classes, fields.class); request.Class < 0 {
		return badRequest(fieldClass + " names no class of the settings")
	}
	if request.Plan = slices.Index(f.site.Plans, fields.plan); request.Plan < 0 {
		return badRequest(fieldPlan + " names no plan of the settings")
	}
	return nil
}

// parseClientWait returns how long the client waits for the answer: at most the deadline of its class, which
// is the total over all its retries.
func parseClientWait(text string, class *scheduler.Class) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds <= maxClientWait.Seconds()) || !isDecimal(text) {
		return 0, badRequest(fieldBudget + " is no time in seconds")
	}
	wait := time.Duration(seconds * float64(time.Second))
	if class.Deadline > 0 {
		wait = min(wait, class.Deadline)
	}
	return wait, nil
}

func isDecimal(text string) bool { return strings.Trim(text, decimalCharacters) == "" }

func validateIdempotencyKey(header http1.Header, class *scheduler.Class) error {
	key, count := header.Get(fieldKey)
	switch {
	case count > 1 || (count == 1 && key == ""):
		return badRequest(fieldKey + " stands twice or is empty")
	case count == 0 && class.Idempotency == scheduler.IdempotentByKey:
		return badRequest("a keyed class carries " + fieldKey)
	}
	return nil
}

// parseRetryMark reports whether the client marks its request as a retry.
func parseRetryMark(header http1.Header) (bool, error) {
	mark, count := header.Get(fieldRetry)
	if count > 1 || (count == 1 && mark != "1" && mark != "0") {
		return false, badRequest(fieldRetry + " is neither 1 nor 0")
	}
	return mark == "1", nil
}

func selectForwarded(header http1.Header) (forwarded http1.Header) {
	for _, field := range header {
		if slices.ContainsFunc(forwardedFields, func(name string) bool {
			return strings.EqualFold(field.Name, name)
		}) {
			forwarded = append(forwarded, field)
		}
	}
	return forwarded
}

// tokenOf returns the number that identifies a request in logs: its id if that is a hexadecimal number, else
// a hash of it.
func tokenOf(id string) uint64 {
	if token, err := strconv.ParseUint(id, 16, 64); err == nil {
		return token
	}
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return hash.Sum64()
}

// parseExtentQuery returns the extent that a target's query names.
func parseExtentQuery(target string) (uint64, error) {
	_, query, _ := strings.Cut(target, "?")
	values, err := url.ParseQuery(query)
	if err != nil || len(values[queryExtent]) != 1 {
		return 0, badRequest("the query does not name one extent")
	}
	return parseHex16(values[queryExtent][0], "the extent")
}

func parseHex16(text, subject string) (uint64, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != hex16Digits {
		return 0, badRequest(subject + " is not 16 hex digits")
	}
	return value, nil
}

// parseExtentField parses the X-Extent field: volume, units, shard and number of instances, each exactly
// once. Other names are ignored.
func (f *frontend) parseExtentField(request *scheduler.Request, text string) error {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.Trim(part, " "), "=")
		if !ok || seen[name] {
			return badRequest(fieldExtent + " is not name=value, each once")
		}
		seen[name] = true
		if err := f.parseExtentValue(request, name, value); err != nil {
			return err
		}
	}
	for _, name := range []string{extentVolume, extentUnits, extentShard, extentInstances} {
		if !seen[name] {
			return badRequest(fieldExtent + " lacks " + name)
		}
	}
	return nil
}

func (f *frontend) parseExtentValue(request *scheduler.Request, name, value string) (err error) {
	settings := &f.site.Settings
	switch name {
	case extentVolume:
		request.Volume, err = parseHex16(value, "the volume")
	case extentUnits:
		request.Units, err = parseUnits(value, max(1, settings.MaxUnits))
	case extentShard:
		maxShard := math.MaxUint16
		if f.site.Shards > 0 {
			maxShard = f.site.Shards - 1
		}
		request.Cell, err = parseExtentInt(name, value, scheduler.NewObject, maxShard)
	case extentInstances:
		request.VolumeInstances, err = parseExtentInt(name, value, 1, max(1, settings.Instances))
	}
	return err
}

func parseUnits(text string, maximum float64) (float64, error) {
	units, err := strconv.ParseFloat(text, 64)
	if err != nil || !(units > 0) || units != math.Trunc(units) || units > maximum {
		return 0, extentOutOfRange(extentUnits)
	}
	return units, nil
}

func parseExtentInt(name, text string, minimum, maximum int) (int, error) {
	value, err := strconv.Atoi(text)
	if err != nil || value < minimum || value > maximum {
		return 0, extentOutOfRange(name)
	}
	return value, nil
}

func extentOutOfRange(name string) error {
	return badRequest(fieldExtent + ": " + name + " out of range")
}
