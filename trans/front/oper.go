package front

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"plantainwinch/entry"
	"plantainwinch/state/config"
	"plantainwinch/winch"
)

// OperatorBackend is the part of an entry that serves the operators' interface.
type OperatorBackend interface {
	Operator(key string) (entry.Actor, winch.Result)
	Document() (*winch.Document, winch.Result)
	Change(ctx context.Context, actor entry.Actor, base uint64, change config.Change) (entry.Applied, winch.Result)
	Plan(ctx context.Context, d config.Declared) (uint64, []winch.Audit, winch.Result)
	IssueKey(ctx context.Context, actor entry.Actor, role winch.KeyRole, holder string) (string, entry.Applied, winch.Result)
	Trail(ctx context.Context) ([]winch.Audit, winch.Result)
	Status(ctx context.Context) entry.CellStatus
	Domains(ctx context.Context) []entry.DomainInfo
	SetDomain(ctx context.Context, actor entry.Actor, name string, state entry.DomainState) (entry.Applied, winch.Result)
	Ready() bool
}

// ApplyBody is the body of a request to apply declarations.
type ApplyBody struct {
	// Base is the version that the change is based on, or zero for any version.
	Base     uint64
	DryRun   bool
	Declared config.Declared
}

// ApplyReply is the response to an ApplyBody.
type ApplyReply struct {
	entry.Applied
	Changes []winch.Audit
}

// KeyBody is the body of a request to issue a key.
type KeyBody struct {
	Role   winch.KeyRole
	Holder string
}

// KeyReply is the response to a KeyBody. It is the only place where the issued key is
// shown.
type KeyReply struct {
	entry.Applied
	Key string
}

// Operators returns the HTTP handler of the operators' interface.
func Operators(backend OperatorBackend, reg metrics.Registry) http.Handler {
	o := &operators{backend: backend}
	r := httprouter.New()
	r.POST("/Operator/Apply", o.requireRole(winch.KeyOperator, o.apply))
	r.GET("/Operator/Document", o.requireRole(winch.KeyOperator, o.document))
	r.POST("/Operator/Keys", o.requireRole(winch.KeyOperator, o.issue))
	r.DELETE("/Operator/Keys/:ID", o.requireRole(winch.KeyOperator, o.withdraw))
	r.PUT("/Operator/Services/:Service/Approved/:Team", o.requireRole(winch.KeyOwner, o.approve(true)))
	r.DELETE("/Operator/Services/:Service/Approved/:Team", o.requireRole(winch.KeyOwner, o.approve(false)))
	r.GET("/Operator/Audit", o.requireRole(winch.KeyOperator, o.audit))
	r.GET("/Operator/Status", o.requireRole(winch.KeyOperator, o.status))
	r.GET("/Operator/Domains", o.requireRole(winch.KeyOperator, o.domains))
	r.PUT("/Operator/Domains/:Domain/Evacuated", o.requireRole(winch.KeyOperator, o.setDomain(entry.DomainEvacuated)))
	r.DELETE("/Operator/Domains/:Domain/Evacuated", o.requireRole(winch.KeyOperator, o.setDomain(entry.DomainInService)))
	addCommonRoutes(r, backend, reg)
	return closeWhen(func() bool { return !backend.Ready() }, r)
}

type operators struct {
	backend OperatorBackend
}

// operatorHandler handles a request of an authenticated operator or owner.
type operatorHandler func(w http.ResponseWriter, req *http.Request, ps httprouter.Params, actor entry.Actor)

// requireRole restricts a handler to holders of a key with the given role. An owner
// may act only on the service that its key belongs to.
func (o *operators) requireRole(role winch.KeyRole, next operatorHandler) httprouter.Handle {
	return func(w http.ResponseWriter, req *http.Request, ps httprouter.Params) {
		actor, r := o.backend.Operator(bearerToken(req))
		if !r.OK() {
			writeResult(w, r)
			return
		}
		if actor.Role != role || role == winch.KeyOwner && actor.Service != ps.ByName("Service") {
			writeResult(w, winch.Refuse(winch.Forbidden, "this needs the key of "+requiredHolder(role, ps)))
			return
		}
		next(w, req, ps, actor)
	}
}

func requiredHolder(role winch.KeyRole, ps httprouter.Params) string {
	if role == winch.KeyOwner {
		return "the owner of service " + ps.ByName("Service")
	}
	return "an operator"
}

func (o *operators) apply(w http.ResponseWriter, req *http.Request, _ httprouter.Params, actor entry.Actor) {
	var body ApplyBody
	if !readJSON(w, req, &body) {
		return
	}
	version, lines, r := o.backend.Plan(req.Context(), body.Declared)
	if r.OK() && body.DryRun {
		writeJSON(w, http.StatusOK, ApplyReply{Applied: entry.Applied{Version: version, Unchanged: true}, Changes: lines})
		return
	}
	var applied entry.Applied
	if r.OK() {
		applied, r = o.backend.Change(req.Context(), actor, body.Base, body.Declared.Change())
	}
	writeJSONOrError(w, r, ApplyReply{Applied: applied, Changes: lines})
}

func (o *operators) document(w http.ResponseWriter, _ *http.Request, _ httprouter.Params, _ entry.Actor) {
	doc, r := o.backend.Document()
	if r.Reason == winch.NoConfiguration {
		doc, r = &winch.Document{}, winch.Result{}
	}
	writeJSONOrError(w, r, doc)
}

func (o *operators) issue(w http.ResponseWriter, req *http.Request, _ httprouter.Params, actor entry.Actor) {
	var body KeyBody
	if !readJSON(w, req, &body) {
		return
	}
	key, applied, r := o.backend.IssueKey(req.Context(), actor, body.Role, body.Holder)
	writeJSONOrError(w, r, KeyReply{Applied: applied, Key: key})
}

func (o *operators) withdraw(w http.ResponseWriter, req *http.Request, ps httprouter.Params, actor entry.Actor) {
	applied, r := o.backend.Change(req.Context(), actor, 0, config.WithdrawKey(ps.ByName("ID")))
	writeJSONOrError(w, r, applied)
}

func (o *operators) approve(allow bool) operatorHandler {
	return func(w http.ResponseWriter, req *http.Request, ps httprouter.Params, actor entry.Actor) {
		change := config.Approve(ps.ByName("Service"), ps.ByName("Team"), allow)
		applied, r := o.backend.Change(req.Context(), actor, 0, change)
		writeJSONOrError(w, r, applied)
	}
}

func (o *operators) audit(w http.ResponseWriter, req *http.Request, _ httprouter.Params, _ entry.Actor) {
	trail, r := o.backend.Trail(req.Context())
	writeJSONOrError(w, r, trail)
}

func (o *operators) status(w http.ResponseWriter, req *http.Request, _ httprouter.Params, _ entry.Actor) {
	writeJSON(w, http.StatusOK, o.backend.Status(req.Context()))
}

func (o *operators) domains(w http.ResponseWriter, req *http.Request, _ httprouter.Params, _ entry.Actor) {
	writeJSON(w, http.StatusOK, o.backend.Domains(req.Context()))
}

func (o *operators) setDomain(state entry.DomainState) operatorHandler {
	return func(w http.ResponseWriter, req *http.Request, ps httprouter.Params, actor entry.Actor) {
		applied, r := o.backend.SetDomain(req.Context(), actor, ps.ByName("Domain"), state)
		writeJSONOrError(w, r, applied)
	}
}
