package routing

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// read processes and removes the report in a node's answer. It returns a refusal by the node as
// the error that the node sent.
func (a *attempt) read(response *http.Response) (*kernel.Answer, error) {
	report := wire.ReadReport(response.Header)
	if report.Attempt != a.call.Attempt {
		_ = response.Body.Close() // unread, which also closes the connection
		a.router.process.Log.Emit(event.AnswerMismatch, "node", a.target.ID)
		return nil, result.New(result.AnswerMismatch, "node %s answered another request", a.target.ID)
	}
	a.recordReport(&report)
	a.call.Budget.ReturnUnused(a.delegated, report.UnusedRetries)
	refused := response.Header.Get(result.HeaderCode) != ""
	a.recordDeclared(wire.ReadDeclared(response.Header), refused)
	if refused {
		defer response.Body.Close()
		return nil, readRefusal(response)
	}
	wire.RemoveInternal(response.Header)
	return &kernel.Answer{Response: response, CausedDownstream: report.CausedDownstream}, nil
}

// recordReport records what a node reports about itself and about the services that its back end
// called.
func (a *attempt) recordReport(report *wire.Report) {
	now := time.Now()
	node, path := a.target.ID, a.call.Policy.Path
	a.call.RecordPressure(report.Pressure)
	if report.LoadKnown {
		a.balancer.SetLoad(now, node, report.Load)
	}
	a.balancer.SetFaults(now, node, report.FaultRate)
	a.balancer.SetLevel(now, node, path, report.Level)
	if report.Level > 0 {
		recordLevel(a.call, a.balancer.Level(now, path))
	}
}

// recordDeclared records what the node's back end has declared about itself. A refusal without a
// restriction shows nothing, since the node may not have heard from its back end yet.
func (a *attempt) recordDeclared(declared instance.Declared, refused bool) {
	if refused && !declared.Restricted() {
		return
	}
	a.router.memory.Record(time.Now(), a.started, a.target.Address, declared)
}

// intHeader returns the integer in a header, 0 if the header is missing or malformed.
func intHeader(header http.Header, name string) int {
	value, err := strconv.Atoi(header.Get(name))
	if err != nil {
		return 0
	}
	return value
}

// maximumRefusalBody bounds how much of the body of a refusal is read, in bytes.
const maximumRefusalBody = 8 << 10

// readRefusal decodes the error in a refusal by a node. An unknown result code becomes Internal.
func readRefusal(response *http.Response) error {
	code := result.Code(intHeader(response.Header, result.HeaderCode))
	if !code.Known() {
		code = result.Internal
	}
	var body result.Body
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumRefusalBody))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil {
		body.Message = "the refusal has no readable body"
	}
	refused := result.New(code, "%s", body.Message)
	refused.Ran = response.Header.Get(result.HeaderOutcome) != result.OutcomeNotRun
	refused.RetryAfter = retryAfter(response.Header)
	return refused
}

// retryAfter returns the Retry-After in the answer of a node, in seconds with or without decimals,
// 0 if the header is missing or malformed.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0 && seconds < maximumRetryAfter.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// maximumRetryAfter bounds the Retry-After that is accepted from a node.
const maximumRetryAfter = time.Hour

// attemptBody ends the attempt at the end of the body.
type attemptBody struct {
	io.ReadCloser
	end func(balance.Outcome)
	// Outcome if the body is read to its end.
	completeOutcome balance.Outcome
	ended           bool
}

func (b *attemptBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		b.endOnce(b.completeOutcome)
	} else if err != nil {
		b.endOnce(balance.Failed)
	}
	return n, err
}

func (b *attemptBody) Close() error {
	err := b.ReadCloser.Close()
	b.endOnce(balance.Unknown)
	return err
}

func (b *attemptBody) endOnce(outcome balance.Outcome) {
	if !b.ended {
		b.ended = true
		b.end(outcome)
	}
}
