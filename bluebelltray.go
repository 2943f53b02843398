// Package bluebelltray declares the interfaces of the request scheduler whose
// implementations differ between deployments and tests. The implementations are in
// the packages below it.
package bluebelltray
