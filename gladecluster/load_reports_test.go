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

// TestLateAndLostLoadReports runs generations on engines whose reports are 2 s old and half of which are lost.
func TestLateAndLostLoadReports(t *testing.T) {
	const (
		generations = 480
		margin      = 3 // two random choices by exact counts stay within it, random ones do not
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
				c.Check(a.Whole(), qt.IsTrue, qt.Commentf("refusal %v, error %v", a.Refusal, a.Err))
			})
		}
		synctest.Wait()
		busiest := 0
		for _, e := range k.Engines {
			busiest = max(busiest, e.Engine.Running())
		}
		c.Check(busiest <= generations/len(k.Engines)+margin, qt.IsTrue, qt.Commentf("%d streams on one engine", busiest))
		tasks.Wait()
	})
}
