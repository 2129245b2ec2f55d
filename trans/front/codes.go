// Package front serves the HTTP/1.1 interfaces for callers and operators.
package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"plantainwinch/winch"
)

// The headers of the callers' interface.
const (
	ClassHeader     = "Winch-Class"
	RequestIDHeader = "Winch-Request-Id"
	DeadlineHeader  = "Winch-Deadline"
	OutcomeHeader   = "Winch-Outcome"
	ReasonHeader    = "Winch-Reason"
)

// ErrorBody is the body of every error response that does not come from an executor.
type ErrorBody struct {
	Outcome winch.Outcome
	Reason  winch.Reason
	Detail  string
	// RetryAfter is a duration such as 1.5s, or empty if a retry does not help.
	RetryAfter string `json:",omitempty"`
}

// status returns the HTTP status of a result. NotRun caused by the request itself is
// in the 400s, since the same request would be refused again. NotRun caused by the
// state of the cell is 429 or 503, after which clients retry. Unknown is 502 or 504,
// after which clients must not simply repeat the request.
func status(r winch.Result) int {
	if r.Outcome == winch.Unknown {
		if r.Reason == winch.ExecutorTimeout || r.Reason == winch.Stopping {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch r.Reason {
	case winch.BadRequest, winch.UnknownClass, winch.DeadlinePassed:
		return http.StatusBadRequest
	case winch.UnknownKey, winch.KeyWithdrawn:
		return http.StatusUnauthorized
	case winch.NotApproved, winch.Forbidden:
		return http.StatusForbidden
	case winch.UnknownService, winch.UnknownJob:
		return http.StatusNotFound
	case winch.DuplicateRequest, winch.VersionConflict:
		return http.StatusConflict
	case winch.TooLarge:
		return http.StatusRequestEntityTooLarge
	case winch.NeverFits:
		return http.StatusUnprocessableEntity
	case winch.OverLimit:
		return http.StatusTooManyRequests
	case winch.AnswerNotKept:
		return http.StatusGone
	default:
		return http.StatusServiceUnavailable
	}
}

func writeResult(w http.ResponseWriter, r winch.Result) {
	h := w.Header()
	h.Set(OutcomeHeader, string(r.Outcome))
	h.Set(ReasonHeader, string(r.Reason))
	body := ErrorBody{Outcome: r.Outcome, Reason: r.Reason, Detail: r.Detail}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
		body.RetryAfter = r.RetryAfter.Round(time.Millisecond).String()
	}
	writeJSON(w, status(r), body)
}

func writeJSON(w http.ResponseWriter, statusCode int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusCode)
	_ = json.NewEncoder(w).Encode(v)
}
