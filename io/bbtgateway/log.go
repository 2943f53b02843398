package bbtgateway

import (
	"time"

	"go.uber.org/zap"
)

// log writes the one line that tells a request's story.
func (x *exchange) log() {
	now := time.Now()
	fields := []zap.Field{
		zap.String("request", x.head.ID),
		zap.Int("status", x.status),
		zap.Int64("ms", now.Sub(x.arrived).Milliseconds()),
		zap.Int64("version", x.version()),
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("service", x.service), zap.String("account", x.accountName()))
	}
	if x.reason != "" {
		fields = append(fields, zap.String("reason", x.reason))
	}
	if len(x.story) > 0 {
		fields = append(fields, zap.Strings("dispatches", x.story), zap.Int64("waited-ms", x.granted.Sub(x.arrived).Milliseconds()))
	}
	if !x.first.IsZero() {
		fields = append(fields, zap.Int64("first-ms", x.first.Sub(x.arrived).Milliseconds()), zap.Int("events", x.events))
	}
	x.gateway.log.Info("request", fields...)
}

// version returns the version of the configuration that decided.
func (x *exchange) version() int64 {
	if x.index == nil {
		return 0
	}
	return x.index.Version()
}
