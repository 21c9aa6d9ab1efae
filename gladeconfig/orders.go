package gladeconfig

import "time"

// Orders configures the orders that VMs send to engines to load and unload weights.
type Orders struct {
	// LeaseDuration is the time after which another VM may take over if the VM that sends orders does not renew its lease.
	LeaseDuration Duration `toml:"leaseDuration"`
	// OrderLife is the maximum time between the sending of an order and its effect.
	OrderLife Duration `toml:"orderLife"`
	// Interval is the time between checks of the engines while weights are missing.
	Interval Duration `toml:"interval"`
	// UnloadGrace is the time for which withdrawn weights stay loaded after they were found unused.
	UnloadGrace Duration `toml:"unloadGrace"`
	// LoadsPerSecond is the rate at which this failure domain may load weights from the weight store.
	LoadsPerSecond float64 `toml:"loadsPerSecond"`
}

func defaultOrders() Orders {
	return Orders{
		LeaseDuration:  Duration(9 * time.Second),
		OrderLife:      Duration(5 * time.Second),
		Interval:       Duration(500 * time.Millisecond),
		UnloadGrace:    Duration(30 * time.Second),
		LoadsPerSecond: 20,
	}
}

func (o *Orders) check(report reporter) {
	report.positive("orders.leaseDuration", o.LeaseDuration)
	report.positive("orders.orderLife", o.OrderLife)
	report.positive("orders.interval", o.Interval)
	if o.UnloadGrace < 0 {
		report("orders.unloadGrace", "must not be negative")
	}
	if o.LoadsPerSecond <= 0 {
		report("orders.loadsPerSecond", "must be more than zero")
	}
}
