package cause

// formerReasons maps the reasons written by earlier builds to those written now, so that logs of
// both can be read together.
var formerReasons = map[string]string{
	"run not known as ended":              "run state unknown",
	"start not confirmed":                 "start unconfirmed",
	"earlier planner's workers not heard": "takeover: workers unresponsive",
	"office may have lapsed":              "office may have expired",
	"team's limit":                        "team limit reached",
	"no worker":                           "no eligible worker",
	"workers set aside":                   "workers quarantined",
	"next decision":                       "next scheduling pass",
	"advice asked":                        "advice request pending",
	"advice failed":                       "advice request failed",
	"no ticket":                           "no valid ticket",
	"not allowed":                         "denied by advice",
	"no room":                             "insufficient capacity",
	"room kept for urgent work":           "capacity reserved for urgent work",
	"not recorded":                        "completion not recorded",
	"end not heard":                       "worker response lost",
}

// renameReasons returns waits with the reasons that are written now.
func renameReasons(waited map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(waited))
	for reason, d := range waited {
		if now, former := formerReasons[reason]; former {
			reason = now
		}
		out[reason] += d
	}
	return out
}
