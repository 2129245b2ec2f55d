package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// stoppingRegion is a region whose entry is stopping and takes no submissions.
type stoppingRegion struct{ winch.Region }

func (stoppingRegion) Stopping() bool { return true }

func (stoppingRegion) CurrentConfig(context.Context, string) (*winch.RegionConfig, winch.ConfigState) {
	return &winch.RegionConfig{Version: 1, Queues: []winch.Queue{{Name: "open", Public: true}}}, winch.ConfigCurrent
}

func (stoppingRegion) Waiting(context.Context, string) (int, winch.Result) { return 1, winch.Result{} }

// Guards against callers that send their next request on a connection which a stopping entry is about to close.
func TestPhasesAsksCallersOfAStoppingEntryToClose(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	Phases(stoppingRegion{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/Queues/open", nil))
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Header().Get("Connection"), "close")
}

// Guards against telling a caller that its request is wrong when the body has not arrived before the entry stops: it
// may be sent again.
func TestPhasesRefusesABodyThatAStopCutsOff(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := httptest.NewRequest(http.MethodPost, "/Queues/open/Jobs/0123456789abcdef", iotest.ErrReader(os.ErrDeadlineExceeded))
	w := httptest.NewRecorder()
	Phases(stoppingRegion{}).ServeHTTP(w, r.WithContext(ctx))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(OutcomeHeader), string(winch.NotRun))
	is.True(w.Header().Get("Retry-After") != "")
}
