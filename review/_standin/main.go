// Command standin runs the cases of the review: it starts the deployed program as separate processes, with a store,
// workers and clients that follow the pages of the users' platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*world){"encoded-stream": encodedStream, "long-calls-at-stop": longCallsAtStop, "long-bodies": longBodies, "foreign-memory": foreignMemory, "leaving-worker": leavingWorker, "emptied-service": emptiedService}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		w.cannotRun(fmt.Errorf("%v", <-signals))
	}()
	cases[os.Args[1]](w)
}
