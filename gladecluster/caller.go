package gladecluster

import "github.com/eelgrassglade/eelgrassglade/gladecaller"

// Caller returns a caller of the default organisation and its clean-up function. The caller knows every VM, including
// killed ones, except those that were stopped as planned.
func (k *Cluster) Caller() (*gladecaller.Caller, func()) {
	return gladecaller.New(gladecaller.Config{
		APIKey:  APIKey,
		Entries: k.entries,
		Dial:    k.host(CallerHost).dial,
	})
}

func (k *Cluster) entries() []gladecaller.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	var entries []gladecaller.Entry
	for _, v := range k.VMs {
		if !v.stopping {
			entries = append(entries, gladecaller.Entry{Name: v.Name, URL: v.URL()})
		}
	}
	return entries
}
