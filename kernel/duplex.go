package kernel

import (
	"net/http"
	"time"
)

// upload is the body of a request that is forwarded while it arrives.
//
// Its answer may begin before the body has ended. Only a reader of the whole body knows where
// the next request begins on the connection. Go's server does not notice that the body was left unread,
// since it knows only its own type of body. upload therefore decides whether the connection can be used
// for another request.
//
// The zero value of *upload, nil, stands for a request that is not streamed.
type upload struct {
	body       *guardedBody
	controller *http.ResponseController
	request    *http.Request
	// Whether the client sends the body only after an interim answer.
	onDemand bool
}

// newUpload replaces the body of a request and allows its answer to begin before the body has been read;
// Go's server reads the rest of the body first otherwise. It returns nil if the body is not streamed. The
// handler must call finish before it returns.
func newUpload(w http.ResponseWriter, r *http.Request) *upload {
	if !isStreamed(r) {
		return nil
	}
	u := &upload{
		body:       &guardedBody{source: r.Body},
		controller: http.NewResponseController(w),
		request:    r,
		onDemand:   r.Header.Get("Expect") != "",
	}
	// Without full duplex, the answer waits for the body. Only test recorders lack it.
	_ = u.controller.EnableFullDuplex()
	r.Body = u.body
	return u
}

// discardTimeout is how long a refusal waits for the rest of the body, so that the connection stays usable.
const discardTimeout = 20 * time.Millisecond

// maximumDiscarded bounds the rest of a body that is read before a refusal, in bytes.
const maximumDiscarded = 256 << 10

// prepareHead is called before the head of the answer is written. It announces that the connection closes
// after the answer, unless the body has ended. refused is true if no one else needs the body any more.
func (u *upload) prepareHead(header http.Header, refused bool) {
	if u == nil || u.body.ended() {
		return
	}
	if refused && !u.onDemand && u.readRest() {
		return
	}
	header.Set("Connection", "close")
}

// readRest takes the body from its reader and reads what arrives in a short time. It reports whether the
// body has ended.
func (u *upload) readRest() bool {
	u.body.close()
	deadline := time.Now().Add(discardTimeout)
	if u.controller.SetReadDeadline(deadline) != nil {
		return false
	}
	u.body.discard()
	if u.controller.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	// After the end of the body, the server watches the connection with a read that must not have
	// met the deadline.
	return u.body.ended() && time.Now().Before(deadline)
}

// finish ends the reading of the connection unless the body has ended, and waits for a read in progress.
// The connection is closed when the server has written the answer.
func (u *upload) finish() {
	if u == nil || u.body.ended() {
		return
	}
	u.body.close()
	endReading(u.request)
	// The only error is that the connection has been closed, which ends the read too.
	_ = u.controller.SetReadDeadline(time.Now())
	u.body.awaitReader()
}
