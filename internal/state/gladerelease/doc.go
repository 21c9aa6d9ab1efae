// Package gladerelease holds one version of the configuration: routes, services, organisations and limits.
//
// A Release does not change once it is in use, so readers share it without locks.
package gladerelease
