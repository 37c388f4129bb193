package wire

import (
	"net/http"
	"strconv"
	"time"

	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/ratelimit"
)

// HeaderBackEnd holds what the back end of a node has declared about itself (instance.Declared).
// A node sets it on its answers, and a process that calls the node returns it with its calls, so
// that a node which was restarted knows it again. It is absent for a back end without a
// restriction.
const HeaderBackEnd = "Loomcleat-Back-End"

// Names of the values in HeaderBackEnd.
const (
	nameIncarnation    = "incarnation"
	nameRateLimit      = "limit" // requests a second
	nameBackEndLeaving = "leaving"
	nameLeavingFor     = "leaving_ms"
)

// WriteDeclared sets HeaderBackEnd if the back end has a restriction.
func WriteDeclared(header http.Header, declared instance.Declared) {
	if !declared.Restricted() {
		return
	}
	list := newListWriter()
	list.addText(nameIncarnation, declared.Incarnation)
	if declared.Limit != nil {
		list.addText(nameRateLimit, strconv.FormatFloat(float64(*declared.Limit), 'g', -1, 64))
	}
	list.addFlag(nameBackEndLeaving, declared.Leaving)
	if declared.LeavingFor != nil {
		list.addText(nameLeavingFor, strconv.FormatInt(declared.LeavingFor.Milliseconds(), 10))
	}
	header[HeaderBackEnd] = []string{list.String()}
}

// ReadDeclared reads HeaderBackEnd. Missing and malformed values are zero.
func ReadDeclared(header http.Header) instance.Declared {
	var declared instance.Declared
	readList(header.Get(HeaderBackEnd), func(name, value string) {
		switch name {
		case nameIncarnation:
			declared.Incarnation = value
		case nameRateLimit:
			number, err := strconv.ParseFloat(value, 64)
			if limit := ratelimit.Rate(number); err == nil && limit.Valid() {
				declared.Limit = &limit
			}
		case nameBackEndLeaving:
			declared.Leaving = value == "1"
		case nameLeavingFor:
			declared.LeavingFor = readMilliseconds(value)
		}
	})
	return declared
}

// maximumLeavingFor bounds the time that is read from nameLeavingFor.
const maximumLeavingFor = 24 * time.Hour

// readMilliseconds returns a time in milliseconds, nil if it is malformed.
func readMilliseconds(text string) *time.Duration {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 || number > maximumLeavingFor.Milliseconds() {
		return nil
	}
	read := time.Duration(number) * time.Millisecond
	return &read
}
