// Package gladerelease holds one version of the configuration in force: routes, services, organisations and limits.
//
// A Release never changes after it was built, so readers share it without locks.
package gladerelease
