package gladeconfig

import "time"

// Orders sets how engines are given orders.
type Orders struct {
	// LeaseDuration is the time after which another VM may take over from a silent order-giver.
	LeaseDuration Duration `toml:"leaseDuration"`
	// OrderLife is the longest time from the sending of an order to its effect.
	OrderLife Duration `toml:"orderLife"`
	// Interval is the time between looks at engines while something is missing.
	Interval Duration `toml:"interval"`
	// UnloadGrace is how long withdrawn weights stay loaded after they are seen unused.
	UnloadGrace Duration `toml:"unloadGrace"`
	// LoadsPerSecond is this failure domain's share of the weight store's rate.
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

func (o *Orders) check(complain complainer) {
	complain.positive("orders.leaseDuration", o.LeaseDuration)
	complain.positive("orders.orderLife", o.OrderLife)
	complain.positive("orders.interval", o.Interval)
	if o.UnloadGrace < 0 {
		complain("orders.unloadGrace", "must not be negative")
	}
	if o.LoadsPerSecond <= 0 {
		complain("orders.loadsPerSecond", "must be more than zero")
	}
}
