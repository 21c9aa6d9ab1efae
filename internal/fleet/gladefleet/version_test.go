package gladefleet

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// versionedServer returns a server of a version.
func versionedServer(domain string, i int, version string) Server {
	s := testServer(domain+version, i)
	s.FailureDomain, s.Version = domain, version
	return s
}

// newVersionedTable returns a table with perDomain servers of each of two versions in each of two failure domains.
func newVersionedTable(perDomain int) *Table {
	t := New(Config{FailureDomain: "shubra", FailureDomains: 2})
	for _, domain := range []string{"giza", "shubra"} {
		for i := range perDomain {
			t.Put(versionedServer(domain, i, "v1"), start)
			t.Put(versionedServer(domain, i, "v2"), start)
		}
	}
	return t
}

// chosenVersions counts the versions that requests get, each of which is released at once.
func chosenVersions(c *qt.C, table *Table, rule VersionRule, now time.Time) map[string]int {
	seen := map[string]int{}
	for range 50 {
		k := choose(c, table, Requirements{Prompt: 5000, Versions: rule}, now)
		seen[k.Version]++
		k.Release()
	}
	return seen
}

// Guards against requests that reach a version on trial although they are not meant for it.
func TestRuleRestrictsVersions(t *testing.T) {
	c := qt.New(t)
	table := newVersionedTable(3)
	c.Assert(chosenVersions(c, table, VersionRule{Only: "v2"}, start), qt.DeepEquals, map[string]int{"v2": 50})
	c.Assert(chosenVersions(c, table, VersionRule{Only: "v2", Fallback: true}, start), qt.DeepEquals, map[string]int{"v2": 50})
	c.Assert(chosenVersions(c, table, VersionRule{Except: "v2"}, start), qt.DeepEquals, map[string]int{"v1": 50})
	c.Assert(chosenVersions(c, table, VersionRule{}, start), qt.HasLen, 2)
	_, err := table.Choose(Requirements{Service: testService, Versions: VersionRule{Only: "v3"}}, start)
	c.Assert(errors.Is(err, ErrNoServer), qt.IsTrue)
	c.Assert(chosenVersions(c, table, VersionRule{Only: "v3", Fallback: true, Except: "v2"}, start), qt.DeepEquals, map[string]int{"v1": 50})
}

// Guards against a request for the target that waits or fails because its servers are full or down, and against one for the old
// version that falls back to the target.
func TestRequestForTargetFallsBack(t *testing.T) {
	c := qt.New(t)
	for name, break1 := range map[string]func(*Table, Server){
		"down": func(t *Table, s Server) { t.MarkFailed(s.ID, start) },
		"full": func(t *Table, s Server) { t.SetPeerShares("x"+s.ID, map[string]Share{s.ID: {Runs: 12}}) },
		"gone": func(t *Table, s Server) { t.Remove(s.ID, start.Add(-time.Minute), 0) },
	} {
		for _, version := range []string{"v1", "v2"} {
			table := newVersionedTable(2)
			for _, s := range table.Statuses() {
				if s.Version == version {
					break1(table, s.Server)
				}
			}
			limits := CapacityLimits{Memory: engineMemory}
			rules := map[string]VersionRule{"v2": {Only: "v2", Fallback: true}, "concentrated": {Only: "v2", Fallback: true, Concentrate: 0.3}}
			for _, rule := range rules {
				k, err := table.Choose(Requirements{Service: testService, Tokens: 1, Limits: limits, Versions: rule}, start)
				c.Assert(err, qt.IsNil, qt.Commentf("%s", name))
				c.Assert(k.Version, qt.Not(qt.Equals), version)
				k.Release()
			}
			k, err := table.Choose(Requirements{Service: testService, Tokens: 1, Limits: limits, Versions: VersionRule{Except: "v2"}}, start)
			if err == nil {
				c.Assert(k.Version, qt.Equals, "v1", qt.Commentf("%s", name))
			} else {
				c.Assert(version, qt.Equals, "v1", qt.Commentf("%s", name))
			}
		}
	}
}

// Guards against a version that is bad under load only and that its few requests, spread over many servers, do not load.
func TestRequestsAreConcentrated(t *testing.T) {
	c := qt.New(t)
	count := func(table *Table, share float64) map[string]bool {
		seen := map[string]bool{}
		for range 200 {
			k := choose(c, table, Requirements{Versions: VersionRule{Only: "v2", Fallback: true, Concentrate: share}}, start)
			seen[k.ID] = true
			k.Release()
		}
		return seen
	}
	table := newVersionedTable(5)
	c.Assert(count(table, 0), qt.HasLen, 5) // those of the own failure domain
	few := count(table, 0.25)
	c.Assert(few, qt.HasLen, 3)
	// VMs choose the same ones, whatever their failure domain; the next one takes the place of one that is down.
	other := newVersionedTable(5)
	other.config.FailureDomain = "giza"
	c.Assert(count(other, 0.25), qt.DeepEquals, few)
	for id := range few {
		table.MarkFailed(id, start)
		break
	}
	c.Assert(count(table, 0.25), qt.HasLen, 3)
	c.Assert(count(table, 0.01), qt.HasLen, 1)
}

// Guards against a good version that is judged by the first answers of servers that have just started.
func TestColdServersJudgeNoVersion(t *testing.T) {
	c := qt.New(t)
	table := New(Config{FailureDomain: "shubra"})
	table.PutAt(versionedServer("shubra", 0, "v1"), 1, start)
	table.RolloutsKnown(5)
	cold := versionedServer("shubra", 0, "v2")
	cold.Cold = time.Second
	table.PutAt(cold, 2, start)
	trial := VersionRule{Only: "v2", Fallback: true, Concentrate: 0.1}
	c.Assert(chosenVersions(c, table, trial, start), qt.DeepEquals, map[string]int{"v1": 50})
	c.Assert(chosenVersions(c, table, VersionRule{Only: "v2", Fallback: true, Except: "v1"}, start), qt.DeepEquals, map[string]int{"v2": 50})
	table.PutAt(cold, 3, start.Add(900*time.Millisecond)) // told again
	c.Assert(chosenVersions(c, table, trial, start.Add(time.Second)), qt.DeepEquals, map[string]int{"v2": 50})
	// The entry of a server that is slow for long does not end the order without evidence.
	cold.ID, cold.Address, cold.Cold = "slow", "slow:1", time.Minute
	table.PutAt(cold, 4, start)
	table.Remove("shubrav2-0", start, 0)
	c.Assert(chosenVersions(c, table, trial, start.Add(maxCold)), qt.DeepEquals, map[string]int{"v2": 50})
}

// Guards against copies on servers that stop with their runs at the end of a roll-out, or on those of a bad version.
func TestCopiesFollowVersions(t *testing.T) {
	c := qt.New(t)
	table := newVersionedTable(2)
	run := versionedServer("shubra", 0, "v1")
	for range 20 {
		k := table.ChooseCopy(run, 1000, CapacityLimits{}, VersionRule{Only: "v2", Fallback: true}, nil, start)
		c.Assert(k.Version, qt.Equals, "v2")
		k.Release()
		k = table.ChooseCopy(run, 1000, CapacityLimits{}, VersionRule{Except: "v2"}, nil, start)
		c.Assert(k.Version, qt.Equals, "v1")
		k.Release()
	}
	c.Assert(table.ChooseCopy(run, 1000, CapacityLimits{}, VersionRule{Only: "v3"}, nil, start), qt.IsNil)
	c.Assert(table.HasCopyCandidate(run, VersionRule{Only: "v3"}, nil, start), qt.IsFalse)
	c.Assert(table.ChooseCopy(run, 1000, CapacityLimits{}, VersionRule{Only: "v3", Fallback: true}, nil, start), qt.IsNotNil)
}

// Guards against requests to a version whose roll-out this VM does not know yet, and against a hold without need or without end.
func TestNewVersionIsHeld(t *testing.T) {
	c := qt.New(t)
	table := New(Config{FailureDomain: "shubra"})
	put := func(i int, version string, revision int64) {
		table.PutAt(versionedServer("shubra", i, version), revision, start)
	}
	put(0, "v1", 10) // the first version is not new
	put(1, "v1", 11)
	c.Assert(table.HasNewVersion([]Server{versionedServer("shubra", 0, "v1")}, 12, start), qt.IsFalse)
	c.Assert(table.HasNewVersion([]Server{versionedServer("shubra", 0, "v2")}, 12, start), qt.IsTrue)
	put(0, "v2", 12)
	put(1, "v2", 13) // the first one is held too, so that the version is still new
	c.Assert(chosenVersions(c, table, VersionRule{}, start), qt.DeepEquals, map[string]int{"v1": 50})
	c.Assert(table.ChooseCopy(versionedServer("shubra", 0, "v1"), 1, CapacityLimits{}, VersionRule{Only: "v2"}, nil, start), qt.IsNil)
	same, others := table.VersionCounts(testService, "v2", start)
	c.Assert([]int{same, others}, qt.DeepEquals, []int{2, 2})
	table.RolloutsKnown(11)
	c.Assert(chosenVersions(c, table, VersionRule{}, start), qt.DeepEquals, map[string]int{"v1": 50})
	table.RolloutsKnown(13)
	c.Assert(chosenVersions(c, table, VersionRule{}, start), qt.HasLen, 2)
	put(0, "v3", 13) // as old as the roll-outs
	c.Assert(chosenVersions(c, table, VersionRule{}, start), qt.HasLen, 3)
	put(0, "v4", 14)
	c.Assert(chosenVersions(c, table, VersionRule{}, start.Add(maxHold-1)), qt.HasLen, 3)
	c.Assert(chosenVersions(c, table, VersionRule{}, start.Add(maxHold)), qt.HasLen, 4)
	table.PutAt(versionedServer("shubra", 0, "v4"), 20, start.Add(maxHold)) // told again
	c.Assert(chosenVersions(c, table, VersionRule{}, start.Add(maxHold)), qt.HasLen, 4)
	// A first list with several versions says which one is new to nobody.
	first := []Server{versionedServer("shubra", 0, "v1"), versionedServer("shubra", 0, "v2")}
	c.Assert(New(Config{}).HasNewVersion(first, 1, start), qt.IsTrue)
	c.Assert(New(Config{}).HasNewVersion(first[:1], 1, start), qt.IsFalse)
}

// Guards against VMs that take their lists for the same although versions differ, and against another digest where there are none.
func TestDigestHasVersions(t *testing.T) {
	c := qt.New(t)
	digest := func(s Server) uint64 {
		table := New(Config{})
		table.Put(s, start)
		return table.Digest()
	}
	plain := testServer("shubra", 0)
	versioned := plain
	versioned.Version = "v2"
	c.Assert(digest(plain), qt.Not(qt.Equals), digest(versioned))
	c.Assert(digest(plain), qt.Equals, plain.digest())
	// The digest of builds that know of no versions, which run beside this one while a release is rolled out.
	c.Assert(testServerDigest, qt.Equals, plain.digest())
}

// testServerDigest is the digest of testServer("shubra", 0) before servers had versions.
const testServerDigest uint64 = 0xb112e83a7a0e0ef0

// BenchmarkChooseWithRule compares the choice of a server without a rule with that under one.
func BenchmarkChooseWithRule(b *testing.B) {
	for name, rule := range map[string]VersionRule{
		"none": {}, "except": {Except: "v2"}, "concentrated": {Only: "v2", Fallback: true, Concentrate: 0.1},
	} {
		b.Run(name, func(b *testing.B) {
			table := newVersionedTable(36)
			for b.Loop() {
				k, err := table.Choose(Requirements{Service: testService, Prompt: 5000, Versions: rule}, start)
				if err != nil {
					b.Fatal(err)
				}
				k.Release()
			}
		})
	}
}
