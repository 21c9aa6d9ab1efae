// Package gladestop says what a stopping VM can still finish before the platform ends its process.
//
// Plan holds the times of one stop.  Durations foresees how long a request takes from those before it.
package gladestop
