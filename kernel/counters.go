package kernel

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/result"
)

// Counters are the counters of a process that the kernel exports as metrics.
type Counters struct {
	Retries   atomic.Int64
	Pipelined atomic.Int64
	// InvalidLoads counts answers of the back end with an invalid load.
	InvalidLoads atomic.Int64
	// InvalidRateLimits counts answers of the back end with an invalid rate limit.
	InvalidRateLimits atomic.Int64
	// InvalidHeartbeats counts messages in place of a heartbeat that are not one.
	InvalidHeartbeats atomic.Int64
	// BackEndRequests counts the requests sent to the back end of this node.
	BackEndRequests atomic.Int64
	Suspended       atomic.Int64 // milliseconds
	ControlSent     atomic.Int64 // bytes
	ControlReceived atomic.Int64 // bytes
	ControlMessages atomic.Int64 // messages sent

	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// Directions of requests in metrics.
const (
	// DirectionInbound is the direction of requests to the back end of this node.
	DirectionInbound  = "inbound"
	directionOutbound = "outbound"
	directionGateway  = "gateway"
)

// register creates the metrics and registers them.
func (c *Counters) register(registry *prometheus.Registry) {
	c.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "loomcleat_requests_total",
		Help: "Requests by direction and numbered result; result 0 is an answer of a back end.",
	}, []string{"direction", "result"})
	c.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "loomcleat_request_seconds",
		Help:    "Time from the arrival of a request to the end of its answer.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
	}, []string{"direction"})
	registry.MustRegister(c.requests, c.latency,
		counterOf("loomcleat_retries_total", "Attempts after the first one that this process made.", &c.Retries),
		counterOf("loomcleat_requests_ahead_total", "Requests that were served before their turn on a caller's connection.", &c.Pipelined),
		counterOf("loomcleat_loads_not_understood_total", "Answers of the back end with a load that makes no sense.", &c.InvalidLoads),
		counterOf("loomcleat_rate_limits_not_understood_total", "Answers of the back end with a rate limit that makes no sense.", &c.InvalidRateLimits),
		counterOf("loomcleat_heartbeats_not_understood_total", "Messages in place of a heartbeat that are not one.", &c.InvalidHeartbeats),
		counterOf("loomcleat_backend_requests_total", "Requests sent to the back end beside this node.", &c.BackEndRequests),
		counterOf("loomcleat_suspended_milliseconds_total", "Time in which the machine was suspended.", &c.Suspended),
		counterOf("loomcleat_control_sent_bytes_total", "Bytes written on control connections.", &c.ControlSent),
		counterOf("loomcleat_control_received_bytes_total", "Bytes read on control connections.", &c.ControlReceived),
		counterOf("loomcleat_control_messages_total", "Control messages sent.", &c.ControlMessages),
	)
}

func counterOf(name, help string, value *atomic.Int64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
		func() float64 { return float64(value.Load()) })
}

// observe counts a request with its result (0 without an error) and its duration.
func (c *Counters) observe(direction string, err error, taken time.Duration) {
	code := 0
	if err != nil {
		code = int(result.From(err).Code)
	}
	c.requests.WithLabelValues(direction, strconv.Itoa(code)).Inc()
	c.latency.WithLabelValues(direction).Observe(taken.Seconds())
}
