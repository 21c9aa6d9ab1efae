// Package gladestandin provides stand-ins for engines, plain services and the platform.
//
// Each is an http.Handler with injectable faults, for tests, demonstrations and measurements. A LateListener lets any handler send late
// second answers.
package gladestandin
