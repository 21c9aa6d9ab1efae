package gladecluster

import (
	"fmt"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

// ServicePool is the pool of the plain services that DefaultNote routes to: CreditsRoute, which is not idempotent, and LookupsRoute, which is.
const (
	ServicePool  = "returns-app"
	CreditsRoute = "credits"
	LookupsRoute = "lookups"
)

// DefaultRoutes returns the routes to the plain services.
func DefaultRoutes() []gladenote.Route {
	return []gladenote.Route{
		{Name: CreditsRoute, Pool: ServicePool, TimeoutMillis: 2000},
		{Name: LookupsRoute, Pool: ServicePool, Idempotent: true, Hedge: true, TimeoutMillis: 1000},
	}
}

func (k *Cluster) addService(domain string, i int) error {
	id := fmt.Sprintf("%s-service-%d", domain, i+1)
	service := gladestandin.NewService(gladestandin.ServiceConfig{ID: id, Ledger: &k.Ledger})
	address, kill, err := k.serve(id, service)
	if err != nil {
		return err
	}
	k.Services = append(k.Services, &Server{
		Service: service,
		Kill:    kill,
		Backend: gladeapi.BackendServer{
			ID: id, Kind: gladeapi.KindService, Address: address, FailureDomain: domain, Incarnation: "1", Pool: ServicePool,
		},
	})
	return nil
}
