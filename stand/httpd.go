package stand

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"plantainwinch/trans/store"
	"plantainwinch/winch"
)

// Handler serves the platform over HTTP. PUT /Faults replaces the injected faults, GET
// /Calls returns the call counts, POST /VMs adds a VM to the VM list and DELETE /VMs/:ID
// removes one.
func (p *Platform) Handler() http.Handler {
	r := httprouter.New()
	r.POST(store.PathPrefix+":Op", p.serveOp)
	r.PUT("/Faults", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var f Faults
		if decode(w, req, &f) {
			p.SetFaults(f)
		}
	})
	r.GET("/Calls", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		encode(w, p.Calls())
	})
	r.POST("/VMs", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var vm winch.VM
		if decode(w, req, &vm) {
			p.SetVM(vm)
		}
	})
	r.DELETE("/VMs/:ID", func(_ http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
		p.RemoveVM(ps.ByName("ID"))
	})
	return r
}

func decode(w http.ResponseWriter, req *http.Request, into any) bool {
	if err := json.NewDecoder(req.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Platform) serveOp(w http.ResponseWriter, req *http.Request, ps httprouter.Params) {
	var in store.Call
	if !decode(w, req, &in) {
		return
	}
	out, err := p.dispatch(req, store.Op(ps.ByName("Op")), in)
	switch {
	case errors.Is(err, winch.ErrUncertain):
		panic(http.ErrAbortHandler) // The response is lost: abort the connection.
	case errors.Is(err, winch.ErrNotFound):
		out.Code = store.CodeMissing
	case errors.Is(err, winch.ErrConflict):
		out.Code = store.CodeConflict
	case err != nil:
		out.Code = store.CodeUnavailable
	}
	encode(w, out)
}

func (p *Platform) dispatch(req *http.Request, op store.Op, in store.Call) (out store.Reply, err error) {
	ctx := req.Context()
	switch op {
	case store.OpGet:
		var v winch.Value
		v, err = p.Get(ctx, in.Key)
		out.Values = []winch.Value{v}
	case store.OpPut:
		out.Version, err = p.Put(ctx, in.Key, in.Data, in.Version, in.Lease)
	case store.OpDelete:
		err = p.Delete(ctx, in.Key, in.Version)
	case store.OpList:
		out.Values, err = p.List(ctx, in.Key)
	case store.OpGrant:
		out.Lease, err = p.Grant(ctx, in.TTL)
	case store.OpRenew:
		err = p.Renew(ctx, in.Lease)
	case store.OpRevoke:
		err = p.Revoke(ctx, in.Lease)
	case store.OpWatch:
		out.Changes, out.Version, err = p.Watch(ctx, in.Prefixes, in.Version)
	case store.OpVMs:
		out.VMs, out.Version, err = p.VMs(ctx, in.Version)
	default:
		err = winch.ErrNotFound
	}
	return out, err
}
