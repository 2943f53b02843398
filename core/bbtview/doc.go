// Package bbtview decides which configuration and which host list are in force
// on a host, from what the platform publishes and what peers know.
package bbtview
