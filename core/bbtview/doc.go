// Package bbtview decides which configuration and which host list are active on
// a host, from what the platform publishes and what peers report. The platform
// publishes the host list and has a configuration service, a key-value store that
// holds the manifest and the parts of the configuration.
package bbtview
