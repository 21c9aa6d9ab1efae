package gladecluster

import "github.com/eelgrassglade/eelgrassglade/gladenote"

// The routes to plain services in DefaultNote.
const (
	// CreditsRoute is not idempotent.
	CreditsRoute = "credits"
	// LookupsRoute is idempotent and hedged.
	LookupsRoute = "lookups"
)

// DefaultRoutes returns the routes to the plain services.
func DefaultRoutes() []gladenote.Route {
	return []gladenote.Route{
		{Name: CreditsRoute, Pool: DefaultServicePool, TimeoutMillis: 2000},
		{Name: LookupsRoute, Pool: DefaultServicePool, Idempotent: true, Hedge: true, TimeoutMillis: 1000},
	}
}
