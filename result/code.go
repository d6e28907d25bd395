package result

import "net/http"

// Code is the number of a result. Codes are stable: the meaning of a number never changes.
type Code int

// Result codes. The hundreds digit identifies the component that reports the result.
const (
	OK Code = 0

	Draining         Code = 101
	Overloaded       Code = 102
	BodyTooLarge     Code = 103
	BadRequest       Code = 104
	NoConfiguration  Code = 105
	DeadlineExceeded Code = 106
	OutdatedConfig   Code = 107

	Unauthenticated Code = 201
	TeamRate        Code = 202
	TeamConcurrency Code = 203
	ModelNotAllowed Code = 204
	BadSession      Code = 205

	KeyRequired      Code = 301
	ClaimUnavailable Code = 302
	ClaimRunning     Code = 303
	ClaimUnknown     Code = 304
	ClaimKeyReused   Code = 305
	ClaimBudget      Code = 306

	NoVersion        Code = 401
	NoEndpoint       Code = 402
	VersionWithdrawn Code = 403
	PoisonRequest    Code = 404
	UnknownService   Code = 405
	SuspectRequest   Code = 406

	EndpointFailed   Code = 501
	EndpointTimeout  Code = 502
	StreamBroken     Code = 503
	CallerGone       Code = 504
	EndpointRejected Code = 505
	AnswerNotHeld    Code = 506

	ConfigInvalid    Code = 701
	ConfigConflict   Code = 702
	ConfigTooLarge   Code = 703
	StoreUnavailable Code = 704
	ConfigBehind     Code = 705

	Internal Code = 901
)

// Info is the description of a result code.
type Info struct {
	Code   Code
	Name   string
	Status int    // HTTP status sent to the caller
	Type   string // value of error.type in the JSON error body
	Text   string // message sent to the caller
}

const (
	typeInvalid = "invalid_request_error"
	typeAuth    = "authentication_error"
	typePerm    = "permission_error"
	typeRate    = "rate_limit_error"
	typeServer  = "server_error"
)

var infos = []Info{
	{OK, "ok", http.StatusOK, "", "The request succeeded."},
	{Draining, "draining", http.StatusServiceUnavailable, typeServer, "The daemon is shutting down and admits no request."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, typeServer, "The daemon's limit on requests in flight is reached."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, typeInvalid, "The request body exceeds the limit."},
	{BadRequest, "bad_request", http.StatusBadRequest, typeInvalid, "The request can't be parsed or lacks a required field."},
	{NoConfiguration, "no_configuration", http.StatusServiceUnavailable, typeServer, "The daemon has not received a configuration yet."},
	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, typeServer, "The caller's deadline passed."},
	{OutdatedConfig, "outdated_configuration", http.StatusServiceUnavailable, typeServer, "The configuration in force at the daemon does not allow the request, but a newer one may exist."},
	{Unauthenticated, "unauthenticated", http.StatusUnauthorized, typeAuth, "The bearer key is missing or belongs to no team."},
	{TeamRate, "team_rate", http.StatusTooManyRequests, typeRate, "The team's request rate is exhausted."},
	{TeamConcurrency, "team_concurrency", http.StatusTooManyRequests, typeRate, "The team's limit on concurrent requests is reached."},
	{ModelNotAllowed, "model_not_allowed", http.StatusForbidden, typePerm, "The team may not use the requested model or version."},
	{BadSession, "bad_session", http.StatusBadRequest, typeInvalid, "The session token is malformed or its signature is wrong."},
	{KeyRequired, "idempotency_key_required", http.StatusBadRequest, typeInvalid, "A non-repeatable call needs an Idempotency-Key header."},
	{ClaimUnavailable, "claim_unavailable", http.StatusServiceUnavailable, typeServer, "The claim could not be recorded, so the call was not sent."},
	{ClaimRunning, "claim_running", http.StatusConflict, typeInvalid, "A call with this idempotency key is in progress."},
	{ClaimUnknown, "claim_unknown", http.StatusConflict, typeServer, "A call with this idempotency key was sent and its outcome is not known."},
	{ClaimKeyReused, "idempotency_key_reused", http.StatusUnprocessableEntity, typeInvalid, "The idempotency key was used with a different request."},
	{ClaimBudget, "claim_budget", http.StatusServiceUnavailable, typeServer, "The budget of claim writes is exhausted, so the call was not sent."},
	{NoVersion, "no_version", http.StatusServiceUnavailable, typeServer, "No allowed version can serve the request."},
	{NoEndpoint, "no_endpoint", http.StatusServiceUnavailable, typeServer, "No endpoint of an allowed version has capacity."},
	{VersionWithdrawn, "version_withdrawn", http.StatusConflict, typeServer, "The session's version was withdrawn and its policy forbids a change."},
	{PoisonRequest, "poison_request", http.StatusUnprocessableEntity, typeInvalid, "The request crashed several endpoints and is not run again."},
	{UnknownService, "unknown_service", http.StatusNotFound, typeInvalid, "No such service is configured."},
	{SuspectRequest, "suspect_request", http.StatusServiceUnavailable, typeServer, "Endpoints crashed several times while they ran the request, or requests with a part of its prompt, so it is not run for now."},
	{EndpointFailed, "endpoint_failed", http.StatusBadGateway, typeServer, "The endpoint failed."},
	{EndpointTimeout, "endpoint_timeout", http.StatusGatewayTimeout, typeServer, "The endpoint made no progress in time."},
	{StreamBroken, "stream_broken", http.StatusBadGateway, typeServer, "The stream broke and could not be resumed."},
	{CallerGone, "caller_gone", 499, typeServer, "The caller closed its connection."},
	{EndpointRejected, "endpoint_rejected", http.StatusBadRequest, typeInvalid, "The endpoint rejected the request."},
	{AnswerNotHeld, "answer_not_held", http.StatusBadGateway, typeServer, "The daemon had no memory to hold the answer. A streamed answer needs none."},
	{ConfigInvalid, "config_invalid", http.StatusUnprocessableEntity, typeInvalid, "The declared objects do not pass the check."},
	{ConfigConflict, "config_conflict", http.StatusConflict, typeInvalid, "Another revision was published in the meantime."},
	{ConfigTooLarge, "config_too_large", http.StatusRequestEntityTooLarge, typeInvalid, "The published form exceeds the key-value service's value limit."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, typeServer, "The key-value service does not answer."},
	{ConfigBehind, "config_behind", http.StatusConflict, typeServer, "The key-value service holds an older revision than the daemons."},
	{Internal, "internal", http.StatusInternalServerError, typeServer, "An internal error occurred."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(infos))
	for _, info := range infos {
		m[info.Code] = info
	}
	return m
}()

// All returns the descriptions of all codes, in ascending order of the codes.
func All() []Info {
	return append([]Info(nil), infos...)
}

// Info returns the description of c, or that of Internal if c is not defined.
func (c Code) Info() Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[Internal]
}

// String returns the name of c, as Info does.
func (c Code) String() string {
	return c.Info().Name
}
