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
func (r *router) read(call *kernel.Call, balancer *balance.Balancer, target balance.Target, response *http.Response, loan int) (*kernel.Answer, error) {
	report := wire.ReadReport(response.Header)
	if report.Attempt != call.Attempt {
		_ = response.Body.Close() // unread, so that the connection is closed
		r.process.Log.Emit(event.AnswerMismatch, "node", target.ID)
		return nil, result.New(result.AnswerMismatch, "node %s answered another request", target.ID)
	}
	learn(call, balancer, target, &report)
	call.Budget.Repay(loan, report.Unspent)
	if response.Header.Get(result.HeaderCode) != "" {
		defer response.Body.Close()
		return nil, refusalOf(response)
	}
	wire.RemoveInternal(response.Header)
	return &kernel.Answer{
		Response:  response,
		Unspent:   report.Unspent,
		Level:     report.Level,
		Leaving:   report.Leaving,
		Replayed:  report.Replayed,
		Inherited: report.Inherited,
	}, nil
}

// learn takes what a node's answer tells of the node and of the way there.
func learn(call *kernel.Call, balancer *balance.Balancer, target balance.Target, report *wire.Report) {
	now := time.Now()
	call.NotePressure(report.Pressure)
	if report.LoadKnown {
		balancer.SetLoad(now, target.ID, report.Load)
	}
	balancer.SetFaults(now, target.ID, report.Faults)
	balancer.SetLevel(now, target.ID, call.Policy.Path, report.Level)
	if report.Level > 0 {
		noteLevel(call, balancer.Level(now, call.Policy.Path))
	}
}

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
	finish func(balance.Outcome)
	whole  balance.Outcome // when the body comes to its end
	ended  bool
}

// Read implements io.Reader.
func (b *attemptBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		b.end(b.whole)
	} else if err != nil {
		b.end(balance.Failed)
	}
	return n, err
}

// Close implements io.Closer.
func (b *attemptBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(balance.Unknown)
	return err
}

func (b *attemptBody) end(outcome balance.Outcome) {
	if !b.ended {
		b.ended = true
		b.finish(outcome)
	}
}
