package bbtverdict

// Reason identifies the cause of a refusal or failure in kebab case. Each reason
// has its own counter.
type Reason string

// The reasons for which a request is refused or fails.
const (
	ReasonBadRequest          Reason = "bad-request"
	ReasonUnknownAccount      Reason = "unknown-account" // the configuration has no contract for the account
	ReasonUnknownPool         Reason = "unknown-pool"    // no pool or service with this name
	ReasonNoOwner             Reason = "no-owner"        // the asked hosts own no endpoint of the pool
	ReasonRequestRate         Reason = "request-rate"    // the account's limit on requests
	ReasonTokenRate           Reason = "token-rate"      // the account's limit on tokens; in bbtschedule also its limit on requests
	ReasonRetryBudget         Reason = "retry-budget"    // the service's retry budget is spent
	ReasonAttemptsExhausted   Reason = "attempts-used"   // the request may not be dispatched again after its latest attempt failed
	ReasonUnknownRoute        Reason = "unknown-route"
	ReasonUnknownKey          Reason = "unknown-key" // no client account has the API key
	ReasonBodyTooLarge        Reason = "body-too-large"
	ReasonHeaderTooLarge      Reason = "header-too-large"
	ReasonResponseMismatch    Reason = "answer-of-another-request" // the endpoint's response does not belong to the request
	ReasonTimeout             Reason = "timeout"                   // the caller's deadline or the route's timeout has passed
	ReasonPoolFull            Reason = "no-room"                   // the queue is full, the expected wait too long, or no endpoint is left
	ReasonEvictedByHigherTier Reason = "evicted-by-higher-tier"    // removed from a full queue for a request of a higher tier
	ReasonDeadlineUnreachable Reason = "deadline-unreachable"      // the request cannot complete before its deadline, or has waited as long as allowed
	ReasonCancelled           Reason = "cancelled"                 // the caller disconnected
	ReasonTicketRequired      Reason = "ticket-required"           // a request that must not run twice came without a ticket; the refusal contains one
	ReasonTicketInvalid       Reason = "ticket-invalid"            // malformed, forged or issued to another account
	ReasonTicketExpired       Reason = "ticket-expired"            // expired, and the outcome of its request is no longer known
	ReasonTicketVoid          Reason = "ticket-void"               // its request did not run and never will; the refusal may contain a new ticket
	ReasonTicketMismatch      Reason = "ticket-of-another-request" // the ticket was redeemed before for another request
	ReasonKeyUnsettled        Reason = "key-unsettled"             // a request with another ticket of the idempotency key may have run
	ReasonKeyHomeUnreachable  Reason = "key-home-unreachable"      // no timely reply from the host that issues the idempotency key's tickets
	ReasonResponseEvicted     Reason = "answer-evicted"            // the request ran, but its response is no longer held
	ReasonLedgerFull          Reason = "ledger-full"               // the host cannot issue another ticket
	ReasonExecutorLost        Reason = "executor-gone"             // the process that issued the ticket has ended or cannot be reached
	ReasonCrashesEndpoints    Reason = "crashes-endpoints"         // endpoints were lost while they ran this request
	ReasonStaleView           Reason = "view-stale"                // the host has no configuration, or does not know or is not the idempotency key's home
	ReasonDraining            Reason = "draining"                  // the host is shutting down
	ReasonEndpointRefused     Reason = "endpoint-refused"          // the endpoint did not run the request, or could not be connected to
	ReasonEndpointLost        Reason = "endpoint-lost"             // the connection to the endpoint failed or broke
	ReasonEndpointTimeout     Reason = "endpoint-silent"           // the endpoint sent no data for too long
	ReasonResponseIncomplete  Reason = "answer-incomplete"         // the response ended early, or was too long to hold
	ReasonOverloaded          Reason = "overloaded"                // the host itself has too many requests, in contrast to PoolFull
	ReasonPermitExpired       Reason = "permit-expired"            // the permit to dispatch expired before the first byte was sent
	ReasonHostUnreachable     Reason = "host-unreachable"          // the caller cannot reach an entry host
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
