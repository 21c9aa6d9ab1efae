// Package gladeconfig parses and validates the settings of a daemon.
package gladeconfig
