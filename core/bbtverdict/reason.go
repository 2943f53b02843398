package bbtverdict

// Reason names the cause of a refusal or failure in kebab case. Each reason
// has a counter of its own.
type Reason string

// The reasons a request is refused or fails.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnknownAccount   Reason = "unknown-account"
	ReasonUnknownPool      Reason = "unknown-pool"
	ReasonNoOwner          Reason = "no-owner"
	ReasonRequestRate      Reason = "request-rate"
	ReasonTokenRate        Reason = "token-rate"
	ReasonRetryBudget      Reason = "retry-budget"
	ReasonAttempts         Reason = "attempts-used"
	ReasonUnknownRoute     Reason = "unknown-route"
	ReasonUnknownKey       Reason = "unknown-key"
	ReasonTooLarge         Reason = "body-too-large"
	ReasonHeaderTooLarge   Reason = "header-too-large"
	ReasonAnswerForeign    Reason = "answer-of-another-request"
	ReasonTimeout          Reason = "timeout"
	ReasonNoRoom           Reason = "no-room"
	ReasonEvicted          Reason = "evicted-by-higher-tier"
	ReasonDeadline         Reason = "deadline-unreachable"
	ReasonCancelled        Reason = "cancelled"
	ReasonTicketRequired   Reason = "ticket-required"
	ReasonTicketInvalid    Reason = "ticket-invalid"
	ReasonTicketExpired    Reason = "ticket-expired"
	ReasonTicketVoid       Reason = "ticket-void"
	ReasonTicketMismatch   Reason = "ticket-of-another-request"
	ReasonKeyUnsettled     Reason = "key-unsettled"
	ReasonHomeUnreachable  Reason = "key-home-unreachable"
	ReasonAnswerEvicted    Reason = "answer-evicted"
	ReasonLedgerFull       Reason = "ledger-full"
	ReasonExecutorGone     Reason = "executor-gone"
	ReasonSuspect          Reason = "crashes-endpoints"
	ReasonViewStale        Reason = "view-stale"
	ReasonDraining         Reason = "draining"
	ReasonEndpointRefused  Reason = "endpoint-refused"
	ReasonEndpointLost     Reason = "endpoint-lost"
	ReasonEndpointSilent   Reason = "endpoint-silent"
	ReasonAnswerIncomplete Reason = "answer-incomplete"
	ReasonOverloaded       Reason = "overloaded"
	ReasonPermitExpired    Reason = "permit-expired"
	ReasonHostUnreachable  Reason = "host-unreachable"
)

// reasons lists every reason.
var reasons = [...]Reason{
	ReasonBadRequest,
	ReasonUnknownAccount,
	ReasonUnknownPool,
	ReasonNoOwner,
	ReasonRequestRate,
	ReasonTokenRate,
	ReasonRetryBudget,
	ReasonAttempts,
	ReasonUnknownRoute,
	ReasonUnknownKey,
	ReasonTooLarge,
	ReasonHeaderTooLarge,
	ReasonAnswerForeign,
	ReasonTimeout,
	ReasonNoRoom,
	ReasonEvicted,
	ReasonDeadline,
	ReasonCancelled,
	ReasonTicketRequired,
	ReasonTicketInvalid,
	ReasonTicketExpired,
	ReasonTicketVoid,
	ReasonTicketMismatch,
	ReasonKeyUnsettled,
	ReasonHomeUnreachable,
	ReasonAnswerEvicted,
	ReasonLedgerFull,
	ReasonExecutorGone,
	ReasonSuspect,
	ReasonViewStale,
	ReasonDraining,
	ReasonEndpointRefused,
	ReasonEndpointLost,
	ReasonEndpointSilent,
	ReasonAnswerIncomplete,
	ReasonOverloaded,
	ReasonPermitExpired,
	ReasonHostUnreachable,
}

// Reasons returns every reason.
func Reasons() []Reason { return reasons[:] }
