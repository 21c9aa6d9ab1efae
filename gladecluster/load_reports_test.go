package gladecluster

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

// TestLateAndLostLoadReports runs generations on engines whose load reports are 2 s old and of which half
// are lost. A VM must balance by its own counts of running streams.
func TestLateAndLostLoadReports(t *testing.T) {
	const (
		generations = 480
		// Choosing between two random engines by exact counts stays within the margin; choosing at random does not.
		margin = 3
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k, closeCluster, err := New(Config{
			Network: &gladewire.Network{}, Engines: 8, VMs: 1,
			Engine: gladestandin.EngineConfig{LoadLag: 2 * time.Second, LoadDrop: 0.5, LoadSeed: 11},
		})
		c.Assert(err, qt.IsNil)
		defer closeCluster()
		caller, closeCaller := k.Caller()
		defer closeCaller()
		time.Sleep(5 * time.Second)
		var tasks sync.WaitGroup
		for i := range generations {
			time.Sleep(time.Millisecond)
			tasks.Go(func() {
				a := caller.Generate(c.Context(), gladecaller.Request{
					Model: ModelName, Prompt: fmt.Sprintf("manifest %d", i), MaxTokens: 100, Seed: int64(i),
					Stream: true, Entry: k.VMs[0].Name,
				})
				c.Check(a.Complete(), qt.IsTrue, qt.Commentf("refusal %v, error %v", a.Refusal, a.Err))
			})
		}
		synctest.Wait()
		busiest := 0
		for _, e := range k.Engines {
			busiest = max(busiest, e.Engine.ActiveStreams())
		}
		c.Check(busiest <= generations/len(k.Engines)+margin, qt.IsTrue, qt.Commentf("%d streams on one engine", busiest))
		tasks.Wait()
	})
}
