package main

import (
	"syscall"
	"time"
)

// processorTime returns the user and system time of this process, or zero if it is unavailable.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
