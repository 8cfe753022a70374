package verdict

// Reason is the machine-readable cause of an Error.
type Reason string

// The reasons that callers can receive.
const (
	ReasonInvalid        Reason = "invalid_request"
	ReasonUnknownService Reason = "unknown_service"
	ReasonNoOwner        Reason = "no_owner"
	ReasonNotOwner       Reason = "not_owner"
	ReasonLeaseLost      Reason = "lease_lost"
	ReasonOverloaded     Reason = "overloaded"
	ReasonRateLimited    Reason = "rate_limited"
	ReasonDeadline       Reason = "deadline_exceeded"
	ReasonCancelled      Reason = "cancelled"
	ReasonDraining       Reason = "draining"
	ReasonStopping       Reason = "stopping"
	ReasonEvacuated      Reason = "zone_evacuated"
	ReasonRegion         Reason = "region_not_allowed"
	ReasonOutdatedRoutes Reason = "outdated_routes"
	ReasonStarting       Reason = "starting"
	ReasonQuarantined    Reason = "quarantined"
	ReasonRepeated       Reason = "repeated_request"
	ReasonIDTooOld       Reason = "request_id_too_old"
	ReasonBackendDown    Reason = "backend_unavailable"
	ReasonBackendCrashed Reason = "backend_crashed"
	ReasonBackendError   Reason = "backend_error"
	ReasonPeerLost       Reason = "peer_lost"
	ReasonUnauthorized   Reason = "unauthorized"
	ReasonNoStore        Reason = "store_unavailable"
	ReasonInternal       Reason = "internal"
)
