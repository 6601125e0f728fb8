package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"forkhead/internal/client"
	consulemulator "forkhead/internal/emulator/consul"
	"forkhead/internal/emulator/host"
	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/settings"
	"forkhead/internal/parse/sexp"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/netio"
	"forkhead/internal/server/placer"
	"forkhead/internal/server/store"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

// readSettings reads a file of settings; "" stands for the default ones.
func readSettings(name string) (*settings.Settings, error) {
	if name == "" {
		return settings.Read("default settings", settings.Default)
	}
	text, err := file(name, "settings: (forkhead ...)")
	if err != nil {
		return nil, err
	}
	return settings.Read(name, text)
}

func readScript(name string, preset []byte) (*scenario.Script, error) {
	if name == "" {
		return scenario.Read("built-in script", preset)
	}
	text, err := file(name, "a script: (badday ...)")
	if err != nil {
		return nil, err
	}
	return scenario.Read(name, text)
}

func (a *app) serveCommand() *cobra.Command {
	var config, keep string
	var self int
	var grace time.Duration
	c := &cobra.Command{
		Use: "serve", Short: "run a placer", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := readSettings(config)
			if err != nil {
				return err
			}
			if self < 0 || self >= len(s.Placers) {
				return badInput(fmt.Errorf("--self is %d, and the settings name placers 0 to %d", self, len(s.Placers)-1))
			}
			c := clock.New()
			cfg := placer.Config{Settings: s.For(self), Clock: c, Log: a.log, Seed: uint64(c.Now())}
			if keep != "" {
				if cfg.Store, cfg.Snapshot, err = store.Open(store.Options{Path: keep}); err != nil {
					return err
				}
				defer cfg.Store.Close()
			}
			p, err := placer.Start(cfg)
			if err != nil {
				return err
			}
			a.log.WithLevel(a.log.GetLevel()).Int("placer", self).Str("http", p.Address()).Msg("the placer serves")
			select {
			case err := <-p.Failed():
				p.Close()
				return err
			case <-cmd.Context().Done():
			}
			// The command's context is done already.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(cmd.Context()), grace)
			defer cancel()
			p.Shutdown(ctx)
			return nil
		},
	}
	c.Flags().StringVar(&keep, "store", "", "file to keep in what must not be forgotten (default: nothing is kept)")
	c.Flags().StringVar(&config, "config", "", "file of settings (default: built-in ones)")
	c.Flags().IntVar(&self, "self", 0, "which placer of the settings this is")
	c.Flags().DurationVar(&grace, "grace", 5*time.Second, "how long what is under way may still take at a stop")
	return c
}

func (a *app) hostCommand() *cobra.Command {
	var scriptFile, catalogue, listen string
	c := &cobra.Command{
		Use: "host", Short: "run the stand-in hosts of a script", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := readScript(scriptFile, scenario.Calm)
			if err != nil {
				return err
			}
			address, _, err := net.SplitHostPort(listen)
			if err != nil {
				return badInput(fmt.Errorf("--listen: %w", err))
			}
			engine, err := netio.New("hosts", 2)
			if err != nil {
				return err
			}
			defer engine.Stop()
			c := clock.New()
			for gi := range s.Hosts {
				g := &s.Hosts[gi]
				for i := range g.Count {
					name, rack := fmt.Sprintf("%s%d", g.Prefix, i), fmt.Sprintf("%s-r%d", g.Zone, i%g.Racks)
					h, err := host.Start(host.Config{
						Host: testcluster.HostConfig(s, g, name, rack), Listen: net.JoinHostPort(address, "0"), Catalogue: catalogue,
						Service: s.Settings.ServiceDiscovery.Service, Refresh: s.Host.Refresh, Seed: uint64(gi*10_000 + i), Cold: g.Cold, Clock: c, Engine: engine,
					})
					if err != nil {
						return err
					}
					defer h.Stop()
					a.log.Info().Str("host", name).Str("address", h.Address()).Msg("the host is up")
				}
			}
			<-cmd.Context().Done()
			return nil
		},
	}
	c.Flags().StringVar(&scriptFile, "script", "", "script whose hosts are run (default: the fleet of try)")
	c.Flags().StringVar(&catalogue, "catalogue", "127.0.0.1:8500", "where the hosts register")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen at; each host takes a port of its own")
	return c
}

func (a *app) catalogueCommand() *cobra.Command {
	var listen string
	var p consulemulator.Policy
	c := &cobra.Command{
		Use: "catalogue", Short: "run the stand-in catalogue of hosts", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := consulemulator.Serve(listen, p, clock.New(), nil)
			if err != nil {
				return err
			}
			<-cmd.Context().Done()
			s.Stop()
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:8500", "address to listen at")
	c.Flags().DurationVar(&p.Critical, "critical", 2*time.Second, "a host that has not registered for so long is critical")
	c.Flags().DurationVar(&p.Deregister, "deregister", 6*time.Second, "and is dropped after this")
	return c
}

func (a *app) tryCommand() *cobra.Command {
	var pf projectFlags
	var scriptFile string
	c := &cobra.Command{
		Use: "try FILE...", Short: "place a description on stand-in hosts, all in this process", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, names []string) error {
			s, err := readScript(scriptFile, scenario.Calm)
			if err != nil {
				return err
			}
			e, err := pf.envelope(names)
			if err != nil {
				return err
			}
			d, err := parse(e, s.Settings)
			if err != nil {
				return err
			}
			named(e, d, names[0])
			sc, err := testcluster.Start(s, nil, a.log, nil, false)
			if err != nil {
				return err
			}
			defer sc.Stop()
			if err := sc.Ready(10 * time.Second); err != nil {
				return err
			}
			for _, n := range d.Notes {
				a.log.Warn().Str("at", n.Pos.String()).Msg(n.Text)
			}
			out := a.outcomes()
			client := client.Client{Address: sc.Settings.Placers[0].HTTP}
			if err := client.Submit(cmd.Context(), e, out.add); err != nil {
				return a.refusal(err)
			}
			return out.end()
		},
	}
	pf.add(c.Flags())
	c.Flags().StringVar(&scriptFile, "script", "", "script whose fleet is used (default: a calm one of ten hosts)")
	return c
}

func (a *app) submitCommand() *cobra.Command {
	var pf projectFlags
	var to, key string
	var tries int
	c := &cobra.Command{
		Use: "submit FILE...", Short: "submit a description to a placer and follow its tasks", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, names []string) error {
			e, err := pf.envelope(names)
			if err != nil {
				return err
			}
			// Classes and tenants are the placer's to know: only the name is looked for here.
			if e.Project == "" && !strings.Contains(e.Files[0].Text, "name:") {
				s, err := readSettings("")
				if err != nil {
					return err
				}
				if d, err := parse(e, s); err == nil {
					named(e, d, names[0])
				}
			}
			out := a.outcomes()
			client := client.Client{Address: to, IdempotencyKey: key, MaxSends: tries, Backoff: 500 * time.Millisecond}
			if err := client.Submit(cmd.Context(), e, out.add); err != nil {
				return a.refusal(err)
			}
			return out.end()
		},
	}
	pf.add(c.Flags())
	c.Flags().StringVar(&to, "to", "127.0.0.1:7070", "the placer's front")
	c.Flags().StringVar(&key, "key", "", "Idempotency-Key (default: a random one)")
	c.Flags().IntVar(&tries, "tries", 5, "how often the submission is sent where the reply is lost or the placer is busy")
	return c
}

// refusal tells a placer's answer as what it is: bad input, a no, or trouble.
func (a *app) refusal(err error) error {
	var r *client.RejectionError
	if !errors.As(err, &r) {
		return err
	}
	switch {
	case len(r.Conflict) > 0:
		fmt.Fprintf(a.errs, "no placement exists. These cannot be met together, and could without any one of them:\n  %s\n", strings.Join(r.Conflict, "\n  "))
		return errNo
	case len(r.Errors) > 0 || r.Status == 400 || r.Status == 415 || r.Status == 422:
		return badInput(err)
	case r.Retryable() || r.Status == 413:
		fmt.Fprintln(a.errs, err)
		return errNo
	}
	return err
}

func (a *app) checkCommand() *cobra.Command {
	var pf projectFlags
	var config string
	c := &cobra.Command{
		Use: "check FILE...", Short: "check settings, scripts or descriptions", Args: cobra.MinimumNArgs(1),
		Long: "check reads files and tells what is wrong with them, without sending anything. Files that hold\n" +
			"(forkhead ...) are settings, (badday ...) scripts; all others are one Compose description.",
		RunE: func(_ *cobra.Command, names []string) error {
			s, err := readSettings(config)
			if err != nil {
				return err
			}
			var rest []string
			errs := &diagnostic.List{}
			for _, name := range names {
				text, err := file(name, "settings, a script or a Compose description")
				if err != nil {
					return err
				}
				switch head(name, text) {
				case "forkhead":
					_, err = settings.Read(name, text)
				case "badday":
					_, err = scenario.Read(name, text)
				default:
					rest = append(rest, name)
					continue
				}
				errs.Add(err)
				if err == nil {
					a.good(name, "")
				}
			}
			if len(rest) > 0 {
				e, err := pf.envelope(rest)
				if err != nil {
					return err
				}
				d, err := parse(e, s)
				errs.Add(err)
				if err == nil {
					for _, n := range d.Notes {
						fmt.Fprintf(a.errs, "%s: note: %s\n", n.Pos, n.Text)
					}
					a.good(strings.Join(rest, ", "), strconv.Itoa(len(d.Services))+" services, "+strconv.Itoa(d.Tasks())+" tasks")
				}
			}
			return badInput(errs.Err())
		},
	}
	pf.add(c.Flags())
	c.Flags().StringVar(&config, "config", "", "settings whose classes and tenants descriptions may name (default: built-in ones)")
	return c
}

// head is the first word of a file that holds an S-expression.
func head(name string, text []byte) string {
	trimmed := strings.TrimSpace(string(text))
	if !strings.HasPrefix(trimmed, "(") && !strings.HasPrefix(trimmed, ";") {
		return ""
	}
	nodes, err := sexp.Parse(name, text)
	if err != nil || len(nodes) == 0 {
		if strings.HasSuffix(name, ".sexp") {
			return "forkhead" // its reader tells what is wrong
		}
		return ""
	}
	return nodes[0].Head()
}

func (a *app) good(name, what string) {
	if a.output == "json" {
		_ = a.json(map[string]any{"file": name, "ok": true, "what": what})
		return
	}
	if what != "" {
		what = ": " + what
	}
	fmt.Fprintf(a.out, "%s: good%s\n", name, what)
}
