package routing

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// read takes the report out of a node's answer. Refusals of the node become
// errors again.
func (a *attempt) read(response *http.Response) (*kernel.Answer, error) {
	report := wire.ReadReport(response.Header)
	if report.Attempt != a.call.Attempt {
		_ = response.Body.Close() // unread, so that the connection is closed
		a.router.process.Log.Emit(event.AnswerMismatch, "node", a.target.ID)
		return nil, result.New(result.AnswerMismatch, "node %s answered another request", a.target.ID)
	}
	a.learn(&report)
	a.call.Budget.Repay(a.loan, report.Unspent)
	if response.Header.Get(result.HeaderCode) != "" {
		defer response.Body.Close()
		return nil, refusalOf(response)
	}
	wire.RemoveInternal(response.Header)
	return &kernel.Answer{Response: response, Inherited: report.Inherited}, nil
}

// learn takes what a node reports of itself and of the services that it called.
func (a *attempt) learn(report *wire.Report) {
	now := time.Now()
	node, path := a.target.ID, a.call.Policy.Path
	a.call.NotePressure(report.Pressure)
	if report.LoadKnown {
		a.balancer.SetLoad(now, node, report.Load)
	}
	a.balancer.SetFaults(now, node, report.Faults)
	a.balancer.SetLevel(now, node, path, report.Level)
	if report.Level > 0 {
		noteLevel(a.call, a.balancer.Level(now, path))
	}
}

// intHeader returns the number in a header, 0 when there is none. Nodes send whole numbers
// or leave the header out; one that can't be read is taken for left out, as by an unknown
// result code, which becomes Internal.
func intHeader(header http.Header, name string) int {
	value, err := strconv.Atoi(header.Get(name))
	if err != nil {
		return 0
	}
	return value
}

// maximumRefusal bounds the body of a refusal, in bytes.
const maximumRefusal = 8 << 10

// refusalOf turns the answer of a node that refused into the error it was.
func refusalOf(response *http.Response) error {
	code := result.Code(intHeader(response.Header, result.HeaderCode))
	if !code.Known() {
		code = result.Internal
	}
	var body result.Body
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumRefusal))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil {
		body.Message = "the refusal has no readable body"
	}
	refused := result.New(code, "%s", body.Message)
	refused.Ran = response.Header.Get(result.HeaderOutcome) != result.OutcomeNotRun
	refused.RetryAfter = time.Duration(intHeader(response.Header, "Retry-After")) * time.Second
	return refused
}

// attemptBody ends the attempt at the end of the body.
type attemptBody struct {
	io.ReadCloser
	end   func(balance.Outcome)
	whole balance.Outcome // when the body comes to its end
	ended bool
}

// Read implements io.Reader.
func (b *attemptBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		b.endOnce(b.whole)
	} else if err != nil {
		b.endOnce(balance.Failed)
	}
	return n, err
}

// Close implements io.Closer.
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
