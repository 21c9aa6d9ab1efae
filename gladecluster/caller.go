package gladecluster

import "github.com/eelgrassglade/eelgrassglade/gladecaller"

// Caller returns a caller of the default organisation, who knows all VMs, also those that have died, and its clean-up function.
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
	entries := make([]gladecaller.Entry, len(k.VMs))
	for i, v := range k.VMs {
		entries[i] = gladecaller.Entry{Name: v.Name, URL: v.URL()}
	}
	return entries
}
