// Package gladebudget limits the retries of each service's requests, over all VMs together.
//
// A VM's budget is a share of the requests that it received in a sliding window, plus its part of a common reserve. VMs
// that exchange their counts pool their budgets; a VM without peers is limited to its own. A margin covers retries that
// VMs make before their counts reach each other. Times are arguments.
package gladebudget
