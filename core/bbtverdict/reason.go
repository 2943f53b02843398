package bbtverdict

// Reason identifies the cause of a refusal or failure in kebab case. Each reason
// has its own counter.
type Reason string

// The reasons for which a request is refused or fails.
const (
	ReasonBadRequest          Reason = "bad-request"
	ReasonUnknownAccount      Reason = "unknown-account"
	ReasonUnknownPool         Reason = "unknown-pool"
	ReasonNoOwner             Reason = "no-owner"
	ReasonRequestRate         Reason = "request-rate"
	ReasonTokenRate           Reason = "token-rate"
	ReasonRetryBudget         Reason = "retry-budget"
	ReasonAttemptsExhausted   Reason = "attempts-used"
	ReasonUnknownRoute        Reason = "unknown-route"
	ReasonUnknownKey          Reason = "unknown-key"
	ReasonBodyTooLarge        Reason = "body-too-large"
	ReasonHeaderTooLarge      Reason = "header-too-large"
	ReasonResponseMismatch    Reason = "answer-of-another-request"
	ReasonTimeout             Reason = "timeout"
	ReasonPoolFull            Reason = "no-room"
	ReasonEvictedByHigherTier Reason = "evicted-by-higher-tier"
	ReasonDeadlineUnreachable Reason = "deadline-unreachable"
	ReasonCancelled           Reason = "cancelled"
	ReasonTicketRequired      Reason = "ticket-required"
	ReasonTicketInvalid       Reason = "ticket-invalid"
	ReasonTicketExpired       Reason = "ticket-expired"
	ReasonTicketVoid          Reason = "ticket-void"
	ReasonTicketMismatch      Reason = "ticket-of-another-request"
	ReasonKeyUnsettled        Reason = "key-unsettled"
	ReasonKeyHomeUnreachable  Reason = "key-home-unreachable"
	ReasonResponseEvicted     Reason = "answer-evicted"
	ReasonLedgerFull          Reason = "ledger-full"
	ReasonExecutorLost        Reason = "executor-gone"
	ReasonCrashesEndpoints    Reason = "crashes-endpoints"
	ReasonStaleView           Reason = "view-stale"
	ReasonDraining            Reason = "draining"
	ReasonEndpointRefused     Reason = "endpoint-refused"
	ReasonEndpointLost        Reason = "endpoint-lost"
	ReasonEndpointTimeout     Reason = "endpoint-silent"
	ReasonResponseIncomplete  Reason = "answer-incomplete"
	ReasonOverloaded          Reason = "overloaded"
	ReasonPermitExpired       Reason = "permit-expired"
	ReasonHostUnreachable     Reason = "host-unreachable"
)

// reasons lists all reasons in the order of their declaration.
var reasons = [...]Reason{
	ReasonBadRequest,
	ReasonUnknownAccount,
	ReasonUnknownPool,
	ReasonNoOwner,
	ReasonRequestRate,
	ReasonTokenRate,
	ReasonRetryBudget,
	ReasonAttemptsExhausted,
	ReasonUnknownRoute,
	ReasonUnknownKey,
	ReasonBodyTooLarge,
	ReasonHeaderTooLarge,
	ReasonResponseMismatch,
	ReasonTimeout,
	ReasonPoolFull,
	ReasonEvictedByHigherTier,
	ReasonDeadlineUnreachable,
	ReasonCancelled,
	ReasonTicketRequired,
	ReasonTicketInvalid,
	ReasonTicketExpired,
	ReasonTicketVoid,
	ReasonTicketMismatch,
	ReasonKeyUnsettled,
	ReasonKeyHomeUnreachable,
	ReasonResponseEvicted,
	ReasonLedgerFull,
	ReasonExecutorLost,
	ReasonCrashesEndpoints,
	ReasonStaleView,
	ReasonDraining,
	ReasonEndpointRefused,
	ReasonEndpointLost,
	ReasonEndpointTimeout,
	ReasonResponseIncomplete,
	ReasonOverloaded,
	ReasonPermitExpired,
	ReasonHostUnreachable,
}

// Reasons returns all reasons.
func Reasons() []Reason { return reasons[:] }
