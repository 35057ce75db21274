package operator

// Names of the alarms in Status.Alarms, where each is followed by ": " and details.
// docs/operations.md describes their meaning and what to do.
const (
	AlarmUnconfirmed    = "configuration_unconfirmed"    // not confirmed against the table for 5 s
	AlarmRegionClosed   = "cross_region_work_stopped"    // unconfirmed for 60 s
	AlarmNotInForce     = "configuration_not_everywhere" // a reachable node runs an older version after 15 s
	AlarmTableDown      = "table_down"
	AlarmTableRegressed = "table_regressed" // it returned an older state than the one known
	AlarmVMsDown        = "vm_list_down"
	AlarmNoHome         = "group_without_home"
	AlarmNoServers      = "group_without_servers" // none of its servers accepts new work
	AlarmCold           = "many_servers_cold"     // over half of a group
	AlarmEjected        = "server_ejected"
	AlarmNode           = "node_unreachable"
	AlarmRegion         = "region_unreachable"
	AlarmPoison         = "poison_request" // a request crashed servers and is refused
	AlarmUnknown        = "outcome_unknown_claims"
	AlarmOrder          = "order_failed" // a model load or role change
	AlarmException      = "exception_to_review"
	AlarmSlowDrain      = "drain_slow"
)

// Alarms lists all alarm names.
var Alarms = []string{
	AlarmUnconfirmed, AlarmRegionClosed, AlarmNotInForce, AlarmTableDown, AlarmTableRegressed, AlarmVMsDown,
	AlarmNoHome, AlarmNoServers, AlarmCold, AlarmEjected, AlarmNode, AlarmRegion, AlarmPoison,
	AlarmUnknown, AlarmOrder, AlarmException, AlarmSlowDrain,
}
