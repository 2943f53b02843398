package bbtgateway

import (
	"time"

	"bluebelltray/io/bbtmetric"
	"go.uber.org/zap"
)

// log writes the one line that tells a request's story, and counts its times.
func (x *exchange) log() {
	now := time.Now()
	x.observe(now)
	fields := []zap.Field{
		zap.String("request", x.head.ID),
		zap.Int("status", x.status),
		zap.Int64("ms", now.Sub(x.arrived).Milliseconds()),
		zap.Int64("version", x.version()),
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("kind", x.route.Kind.String()),
			zap.String("service", x.service), zap.String("account", x.accountName()))
	}
	fields = append(fields, x.decision()...)
	x.gateway.log.Info("request", fields...)
}

// decision returns what was decided on the request, and why.
func (x *exchange) decision() []zap.Field {
	var fields []zap.Field
	if x.reason != "" {
		fields = append(fields, zap.String("reason", x.reason))
	}
	if x.retry > 0 {
		fields = append(fields, zap.Int64("retry-after-ms", x.retry.Milliseconds()))
	}
	if g := x.grounds; g.Owner != "" {
		fields = append(fields, zap.String("owner", string(g.Owner)), zap.Int("running", g.Running),
			zap.Int("ahead", g.Ahead), zap.Int64("expected-wait-ms", g.Wait.Milliseconds()))
	}
	if len(x.story) > 0 {
		fields = append(fields, zap.Strings("dispatches", x.story), zap.Int64("waited-ms", x.granted.Sub(x.arrived).Milliseconds()))
	}
	if !x.first.IsZero() {
		fields = append(fields, zap.Int64("first-ms", x.first.Sub(x.arrived).Milliseconds()), zap.Int("events", x.events))
	}
	return fields
}

// observe counts the request's times if it was answered.
func (x *exchange) observe(now time.Time) {
	if x.first.IsZero() || x.route == nil {
		return
	}
	l, kind := x.gateway.latencies, x.route.Kind.String()
	l.Observe(bbtmetric.PhaseWait, kind, x.granted.Sub(x.arrived))
	l.Observe(bbtmetric.PhaseFirstByte, kind, x.first.Sub(x.arrived))
	l.Observe(bbtmetric.PhaseTotal, kind, now.Sub(x.arrived))
}

// version returns the version of the configuration that decided.
func (x *exchange) version() int64 {
	if x.index == nil {
		return 0
	}
	return x.index.Version()
}
