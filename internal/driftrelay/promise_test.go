package driftrelay

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// promises are the statuses that promise that a request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// assertPromiseKept asserts that a request was not refused as not run if it ran.
func assertPromiseKept(t *testing.T, w *simulation, id string, a Answer) {
	t.Helper()
	if w.runs()[id] > 0 {
		assert.NotContains(t, promises, a.Status, "%s has run: %s", id, a.Cause)
	}
}

// TestFailurePassedOnAsRefusal guards against passing on the failure of an upstream
// that has run a request, with a status that promises that it has not.
func TestFailurePassedOnAsRefusal(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, route := range []driftroute.Route{nonIdempotent(), receipt()} {
			t.Run(fmt.Sprintf("%d, %s", status, route.Name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newSimulation(1, 2, 10*time.Millisecond, route)
					w.forEachUpstream(func(_ int, s *fakeUpstream) { s.failsWith = status })
					r := w.relay()
					a := sendQuery(t.Context(), r, route)
					assert.NotZero(t, w.runs()["q"])
					if route.Idempotent {
						assert.Equal(t, status, a.Status, "the upstream's own answer")
						assert.NotEmpty(t, a.Header.Get(testHeaders.Signature))
					} else {
						assert.Equal(t, http.StatusBadGateway, a.Status)
						assert.Empty(t, a.Header, "what the upstream sent belongs to its status")
						assert.Empty(t, a.Body)
					}
					closeAll(r)
				})
			})
		}
	}
}

// TestRefusedAsItWasSent guards against refusing a request as not run at the moment
// at which the connection for it opens and it is sent.
func TestRefusedAsItWasSent(t *testing.T) {
	for _, route := range []driftroute.Route{nonIdempotent(), receipt(), rush()} {
		t.Run(route.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route.Timeout = 4 * time.Second
				// Hedges give up attempts whose connection is not open.
				route.LatencyObjective = 4 * time.Second
				w := newSimulation(1, 2, time.Millisecond, route)
				for i := range w.view.Table.Config.Services {
					w.view.Table.Config.Services[i].MaxConns = 1000
				}
				w.view.Table = driftroute.NewTable(w.view.Table.Config)
				opensAt := time.Now().Add(100 * time.Millisecond)
				r := w.relay(WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
					time.Sleep(time.Until(opensAt))
					return w.dial(ctx, address)
				}))
				var mu sync.Mutex
				var group sync.WaitGroup
				answers := make(map[string]Answer)
				for i := range 60 {
					group.Go(func() {
						id := fmt.Sprintf("q%d", i)
						a := r.Serve(context.Background(), &driftexchange.Request{
							ID: id, Method: http.MethodGet, Target: route.Prefix, Host: route.Host,
						}, route.Prefix, time.Now(), 0)
						mu.Lock()
						defer mu.Unlock()
						answers[id] = a
					})
				}
				time.Sleep(50 * time.Millisecond)
				r.StopBy(opensAt)
				group.Wait()
				time.Sleep(time.Second)
				refused := 0
				for id, a := range answers {
					assertPromiseKept(t, w, id, a)
					if a.Status == http.StatusServiceUnavailable {
						refused++
					}
				}
				t.Logf("%d of %d refused, %d ran", refused, len(answers), len(w.runs()))
				closeAll(r)
			})
		})
	}
}

// TestRefusedWhenCallerLeft guards against refusing a running request as not run
// when its caller has closed its end for writing, and reads on.
func TestRefusedWhenCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1, 2, time.Second, nonIdempotent())
		r := w.relay()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		a := sendQuery(ctx, r, nonIdempotent())
		assert.NotZero(t, w.runs()["q"])
		assert.Equal(t, CauseCallerLeft, a.Cause)
		assertPromiseKept(t, w, "q", a)
		closeAll(r)
	})
}

// TestMergedAnswerRefused guards against refusing a query as not run for want of
// some shards, after others have run it.
func TestMergedAnswerRefused(t *testing.T) {
	t.Run("some shards have run it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newSimulation(10, 4, rushServiceTime, rush())
			w.forEachUpstream(func(i int, s *fakeUpstream) {
				if i < 5*testDomains {
					s.refusalRate = 1
				}
			})
			r := w.relay()
			a := sendQuery(t.Context(), r, rush())
			assert.NotZero(t, w.runs()["q"])
			assert.Equal(t, http.StatusBadGateway, a.Status)
			assert.Positive(t, a.RetryAfter)
			closeAll(r)
		})
	})
	t.Run("no shard has run it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newSimulation(10, 4, rushServiceTime, rush())
			w.forEachUpstream(func(_ int, s *fakeUpstream) { s.unreachable = true })
			r := w.relay()
			a := sendQuery(t.Context(), r, rush())
			assert.Equal(t, http.StatusServiceUnavailable, a.Status)
			closeAll(r)
		})
	})
	t.Run("the time ends before it was sent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newSimulation(10, 4, rushServiceTime, rush())
			for i := range w.view.Table.Config.Services {
				w.view.Table.Config.Services[i].MaxConns = 0
			}
			w.view.Table = driftroute.NewTable(w.view.Table.Config)
			r := w.relay()
			a := sendQuery(t.Context(), r, rush())
			assert.Equal(t, http.StatusServiceUnavailable, a.Status)
			closeAll(r)
		})
	})
}

// TestRefusalsUntilTheEnd checks that a request that every upstream has refused is
// refused as not run, also if the wait for another ends with the time for it.
func TestRefusalsUntilTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1, 2, 10*time.Millisecond, nonIdempotent())
		w.forEachUpstream(func(_ int, s *fakeUpstream) { s.refusalRate = 1 })
		r := w.relay()
		a := sendQuery(t.Context(), r, nonIdempotent())
		assert.Zero(t, w.runs()["q"])
		assert.Equal(t, http.StatusServiceUnavailable, a.Status)
		closeAll(r)
	})
}

// TestPromiseWithoutProof checks that no answer is written that promises without a
// proof, wherever it was made.
func TestPromiseWithoutProof(t *testing.T) {
	for _, status := range promises {
		assert.Equal(t, http.StatusBadGateway, Answer{Status: status, Header: http.Header{"X-Proof": {"p"}}}.Kept().Status)
		assert.Empty(t, Answer{Status: status, Header: http.Header{"X-Proof": {"p"}}}.Kept().Header)
		assert.Equal(t, status, Answer{Status: status, NotRun: NotRun{alwaysRefused}}.Kept().Status)
		assert.Equal(t, status, Answer{Status: status, ofUpstream: true}.Kept().Status)
	}
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
		assert.Equal(t, status, Answer{Status: status}.Kept().Status)
	}
}

// TestPromisesAreMadeInOnePlace checks that the statuses that promise are named
// only where a proof is asked for, and where the platform asks whether a VM is
// ready.
func TestPromisesAreMadeInOnePlace(t *testing.T) {
	allowed := map[string]bool{"promise.go": true, "directory.go": true}
	names := []string{"StatusRequestTimeout", "StatusMisdirectedRequest", "StatusTooManyRequests", "StatusServiceUnavailable"}
	for _, pattern := range []string{"*.go", "../../platform/*.go"} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") || allowed[filepath.Base(file)] {
				continue
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			require.NoError(t, err)
			ast.Inspect(parsed, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.Ident:
					assert.NotContains(t, names, n.Name, file)
				case *ast.BasicLit:
					assert.NotContains(t, []string{"408", "421", "429", "503"}, n.Value, file)
				}
				return true
			})
		}
	}
}

// TestHeadLengthIsNoTruncation guards against reporting the reply to a HEAD request,
// which has a length and no body, as truncated.
func TestHeadLengthIsNoTruncation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := driftevent.NewLog("vm-0", 1)
		checker := driftcheck.NewChecker(events)
		w := newSimulation(1, 2, 10*time.Millisecond, nonIdempotent())
		r := w.relay(WithChecks(events, checker))
		a := r.Serve(t.Context(), &driftexchange.Request{ID: "q", Method: http.MethodHead, Target: "/once/", Host: "h"},
			"/once/", time.Now(), 0)
		assert.Equal(t, http.StatusOK, a.Status)
		assert.Positive(t, a.Omitted)
		assert.Zero(t, checker.Total())
		closeAll(r)
	})
}
