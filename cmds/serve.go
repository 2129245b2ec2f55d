package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"plantainwinch/conf"
	"plantainwinch/server"
	"plantainwinch/trans/lines"
)

func newServe() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve -c FILE",
		Short: "Run one entry",
		Long: "Run one entry until SIGTERM or SIGINT, which stop it without interrupting requests.\n" +
			"[Platform] Adapter in the settings selects the platform that it runs on.",
		Example: "  plantainwinch serve -c entry.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			adapter, err := conf.Adapter(path)
			if err != nil {
				return err
			}
			if adapter == conf.AdapterRegion {
				return serveRegion(cmd.Context(), path)
			}
			return serveCell(cmd.Context(), path)
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "file with the entry's settings")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// serveCell runs one entry of a cell until ctx ends.
func serveCell(ctx context.Context, path string) error {
	settings, err := conf.Load(path)
	if err != nil {
		return err
	}
	server.TuneMemory()
	log := newLogger()
	s := &server.Server{Settings: settings, Log: log}
	if err := s.Prepare(); err != nil {
		return err
	}
	log.Info("entry serving", zap.String("Entry", settings.Entry.Name), zap.String("Callers", s.CallersAddress()))
	s.Run(ctx)
	return nil
}

// serveRegion runs one entry of a region until ctx ends, and applies changed settings while it runs.
func serveRegion(ctx context.Context, path string) error {
	settings, err := conf.LoadRegion(path)
	if err != nil {
		return err
	}
	reg := metrics.NewRegistry()
	out := lines.New(os.Stdout, reg)
	var group conc.WaitGroup
	writerCtx, stopWriter := context.WithCancel(context.Background())
	group.Go(func() { out.Run(writerCtx) })
	defer group.Wait()
	defer stopWriter()
	s := &server.Region{Settings: settings, Log: out.Logger(), Metrics: reg}
	if err := s.Prepare(); err != nil {
		return err
	}
	group.Go(func() { reloadSettings(writerCtx, path, s) })
	s.Run(ctx)
	return nil
}

// reloadInterval is the interval at which the settings file is read again, as it may change without a signal.
const reloadInterval = 2 * time.Second

// reloadSettings reads the settings file at intervals and on SIGHUP and applies it, until ctx ends. If the file cannot
// be loaded, the present settings stay.
func reloadSettings(ctx context.Context, path string, s *server.Region) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
		}
		settings, err := conf.LoadRegion(path)
		if err != nil {
			s.Log.Error("settings cannot be reloaded; keeping the present ones", zap.Error(err))
			continue
		}
		s.Reload(settings)
	}
}
