// Package bluebelltray declares the behaviour that varies between deployments
// and tests of the request scheduler; implementations live in the packages
// below it.
package bluebelltray
