package bbtgateway

import (
	"time"

	"bluebelltray/io/bbtmetric"
	"go.uber.org/zap"
)

// log writes the one log line of the request and records its latencies.
func (x *exchange) log() {
	now := time.Now()
	x.observeLatencies(now)
	fields := []zap.Field{
		zap.String("request", x.head.ID),
		zap.Int("status", x.status),
		zap.Int64("ms", now.Sub(x.receivedAt).Milliseconds()),
		zap.Int64("version", x.configVersion()),
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("kind", x.route.Kind.String()),
			zap.String("service", x.service), zap.String("account", x.accountName()))
	}
	fields = append(fields, x.decisionFields()...)
	x.gateway.log.Info("request", fields...)
}

// decisionFields returns the log fields on scheduling: the reason of a failure,
// the state on which the scheduler's latest decision was based, and the
// dispatches.
func (x *exchange) decisionFields() []zap.Field {
	var fields []zap.Field
	if x.reason != "" {
		fields = append(fields, zap.String("reason", x.reason))
	}
	if x.retryAfter > 0 {
		fields = append(fields, zap.Int64("retry-after-ms", x.retryAfter.Milliseconds()))
	}
	if d := x.decision; d.Owner != "" {
		fields = append(fields, zap.String("owner", string(d.Owner)), zap.Int("running", d.Running),
			zap.Int("ahead", d.Ahead), zap.Int64("expected-wait-ms", d.Wait.Milliseconds()))
	}
	if len(x.dispatchLog) > 0 {
		fields = append(fields, zap.Strings("dispatches", x.dispatchLog), zap.Int64("waited-ms", x.dispatchedAt.Sub(x.receivedAt).Milliseconds()))
	}
	if !x.firstByteAt.IsZero() {
		fields = append(fields, zap.Int64("first-ms", x.firstByteAt.Sub(x.receivedAt).Milliseconds()), zap.Int("events", x.events))
	}
	return fields
}

// observeLatencies records the latencies of a request that got a response from
// an endpoint.
func (x *exchange) observeLatencies(now time.Time) {
	if x.firstByteAt.IsZero() || x.route == nil {
		return
	}
	l, kind := x.gateway.latencies, x.route.Kind.String()
	l.Observe(bbtmetric.PhaseWait, kind, x.dispatchedAt.Sub(x.receivedAt))
	l.Observe(bbtmetric.PhaseFirstByte, kind, x.firstByteAt.Sub(x.receivedAt))
	l.Observe(bbtmetric.PhaseTotal, kind, now.Sub(x.receivedAt))
}

// configVersion returns the version of the configuration that the request was
// accepted under; 0 if there was none.
func (x *exchange) configVersion() int64 {
	if x.index == nil {
		return 0
	}
	return x.index.Version()
}
