package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
)

const membershipPollInterval = 20 * time.Millisecond

// MembershipResult holds the cost of membership in a cluster of one size.
type MembershipResult struct {
	VMs            int     `json:"vms"`
	FailureDomains int     `json:"failureDomains"`
	Seconds        float64 `json:"seconds"`
	// SentBytes is the number of bytes that a VM sends per second.
	SentBytes float64 `json:"sentBytes"`
	// ReceivedBytes is the number of bytes that a VM receives per second.
	ReceivedBytes float64 `json:"receivedBytes"`
	// CorePercent is the processor time of a VM, in per cent of one core.
	CorePercent float64 `json:"corePercent"`
	// JoinSeconds is the time until every VM lists every other VM.
	JoinSeconds float64 `json:"joinSeconds"`
	// FalseDeaths is the number of live VMs missing from another VM's member list, summed over all VMs and samples.
	FalseDeaths int `json:"falseDeaths"`
	// DetectSeconds is the time from the death of a VM until no other VM lists it.
	DetectSeconds float64 `json:"detectSeconds"`
}

func membershipCommand() *cli.Command {
	return &cli.Command{
		Name:  "membership",
		Usage: "measure the cost of membership for each VM, with all VMs in this process on loopback",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "vms", Usage: "cluster sizes in VMs", Value: []int{4, 15, 50, 150, 320}},
			&cli.IntFlag{Name: "domains", Usage: "number of failure domains", Value: 6},
			&cli.DurationFlag{Name: "for", Usage: "duration of the measurement of each cluster size", Value: 20 * time.Second},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			for _, n := range c.IntSlice("vms") {
				r, err := measureMembership(ctx, n, min(n, c.Int("domains")), c.Duration("for"))
				if err != nil {
					return err
				}
				if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// membershipFleet is a set of membership nodes that count the bytes on their connections.
type membershipFleet struct {
	nodes    []*gladepeer.Node
	closers  []func()
	sent     atomic.Int64
	received atomic.Int64
}

func measureMembership(ctx context.Context, n, domains int, d time.Duration) (*MembershipResult, error) {
	f := &membershipFleet{}
	defer f.close()
	started := time.Now()
	for i := range n {
		if err := f.add(i, domains); err != nil {
			return nil, err
		}
	}
	if err := f.waitUntil(ctx, func() bool { return f.missing() == 0 }); err != nil {
		return nil, err
	}
	r := &MembershipResult{VMs: n, FailureDomains: domains, JoinSeconds: time.Since(started).Seconds()}
	if err := f.measureTraffic(ctx, r, d); err != nil {
		return nil, err
	}
	return r, f.measureDetection(ctx, r)
}

func (f *membershipFleet) add(i, domains int) error {
	c := gladepeer.Config{
		Self: gladeapi.EntryVM{
			Name:          fmt.Sprintf("vm-%03d", i),
			FailureDomain: fmt.Sprintf("domain-%d", i%domains),
			PeerAddress:   "127.0.0.1:0",
			Incarnation:   "1",
		},
		Dial:   f.dial,
		Listen: f.listen,
	}
	for _, n := range f.nodes[:min(len(f.nodes), 3)] {
		c.Seeds = append(c.Seeds, n.Self().PeerAddress)
	}
	n, closeNode, err := gladepeer.New(c)
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	f.closers = append(f.closers, closeNode)
	return nil
}

func (f *membershipFleet) close() {
	for _, closeNode := range f.closers {
		closeNode()
	}
}

// missing returns the number of live VMs missing from member lists, summed over all VMs.
func (f *membershipFleet) missing() int {
	missing := 0
	for _, n := range f.nodes {
		missing += len(f.nodes) - 1 - len(n.Members())
	}
	return missing
}

func (f *membershipFleet) waitUntil(ctx context.Context, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	for !ok() {
		select {
		case <-time.After(membershipPollInterval):
		case <-ctx.Done():
			return eris.Errorf("membership did not converge: %d member entries are missing", f.missing())
		}
	}
	return nil
}

func (f *membershipFleet) measureTraffic(ctx context.Context, r *MembershipResult, d time.Duration) error {
	sent, received, cpu, started := f.sent.Load(), f.received.Load(), cpuTime(), time.Now()
	for time.Since(started) < d {
		select {
		case <-time.After(time.Second):
			r.FalseDeaths += f.missing()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r.Seconds = time.Since(started).Seconds()
	vmSeconds := r.Seconds * float64(r.VMs)
	r.SentBytes = float64(f.sent.Load()-sent) / vmSeconds
	r.ReceivedBytes = float64(f.received.Load()-received) / vmSeconds
	r.CorePercent = 100 * (cpuTime() - cpu).Seconds() / vmSeconds
	return nil
}

func (f *membershipFleet) measureDetection(ctx context.Context, r *MembershipResult) error {
	last := len(f.nodes) - 1
	name := f.nodes[last].Self().Name
	f.closers[last]()
	f.nodes, f.closers = f.nodes[:last], f.closers[:last]
	started := time.Now()
	err := f.waitUntil(ctx, func() bool { return !f.listsVM(name) })
	r.DetectSeconds = time.Since(started).Seconds()
	return err
}

func (f *membershipFleet) listsVM(name string) bool {
	for _, n := range f.nodes {
		for _, m := range n.Members() {
			if m.Name == name {
				return true
			}
		}
	}
	return false
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (f *membershipFleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, fleet: f}, nil
}

func (f *membershipFleet) listen(network, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: l, fleet: f}, nil
}

type countingListener struct {
	net.Listener
	fleet *membershipFleet
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, fleet: l.fleet}, nil
}

type countingConn struct {
	net.Conn
	fleet *membershipFleet
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.fleet.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.fleet.sent.Add(int64(n))
	return n, err
}
