// Package bbtview decides which configuration and which host list are active on
// a host, from what the platform publishes and what peers report.
package bbtview
