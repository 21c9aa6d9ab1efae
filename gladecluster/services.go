package gladecluster

import "github.com/eelgrassglade/eelgrassglade/gladenote"

// The routes of DefaultNote to plain services: CreditsRoute is not idempotent, LookupsRoute is.
const (
	CreditsRoute = "credits"
	LookupsRoute = "lookups"
)

// DefaultRoutes returns the routes to the plain services.
func DefaultRoutes() []gladenote.Route {
	return []gladenote.Route{
		{Name: CreditsRoute, Pool: DefaultServicePool, TimeoutMillis: 2000},
		{Name: LookupsRoute, Pool: DefaultServicePool, Idempotent: true, Hedge: true, TimeoutMillis: 1000},
	}
}
