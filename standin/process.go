package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/bramleytrail/bramleytrail/settings"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// Exit codes of the stand-in process.
const (
	exitOK      = 0
	exitFailure = 1
)

// Options are the command-line flags of a stand-in process.
type Options struct {
	Listen          string        `long:"listen" description:"loopback IP address and port of the platform's services" default:"127.0.0.1:7000"`
	AdminListen     string        `long:"admin-listen" description:"loopback IP address and port of the administrative interface" default:"127.0.0.1:7001"`
	Endpoints       int           `long:"endpoints" description:"number of model endpoints, each on a free port" default:"6"`
	Service         string        `long:"service" description:"service of the model endpoints" default:"llm"`
	Versions        []string      `long:"version" description:"version that the endpoints serve in turn; may be repeated" default:"small-1"`
	Domains         []string      `long:"domain" description:"failure domain of the endpoints in turn; may be repeated" default:"north"`
	PlainEndpoints  int           `long:"plain-endpoints" description:"number of endpoints of the plain service" default:"0"`
	PlainService    string        `long:"plain-service" description:"service of the plain endpoints" default:"lots"`
	Slots           int           `long:"slots" description:"concurrent requests of a model endpoint" default:"64"`
	AnswerTokens    int64         `long:"answer" description:"tokens of an answer" default:"24"`
	TokenDelay      time.Duration `long:"token-delay" description:"time between tokens" default:"0s"`
	FirstTokenDelay time.Duration `long:"first-delay" description:"time to the first token" default:"0s"`
	Unlisted        bool          `long:"unlisted" description:"do not add the endpoints to the host list at start"`
}

// maxEndpoints limits the listeners that one process opens.
const maxEndpoints = 2000

// Check returns all invalid options, joined, or nil.
func (o *Options) Check() error {
	var errs []error
	for flag, v := range map[string]string{"listen": o.Listen, "admin-listen": o.AdminListen} {
		ap, err := netip.ParseAddrPort(v)
		if err != nil || !ap.Addr().IsLoopback() {
			errs = append(errs, fmt.Errorf("--%s: %q is not a loopback IP address and port", flag, v))
		}
	}
	if o.Endpoints < 0 || o.PlainEndpoints < 0 || o.Endpoints+o.PlainEndpoints > maxEndpoints {
		errs = append(errs, fmt.Errorf("--endpoints: want 0 to %d endpoints in all", maxEndpoints))
	}
	if o.Slots < 0 || o.AnswerTokens < 0 || o.TokenDelay < 0 || o.FirstTokenDelay < 0 {
		errs = append(errs, errors.New("--slots, --answer, --token-delay and --first-delay must not be negative"))
	}
	return errors.Join(errs...)
}

// Process serves fakes of the platform's services and of endpoints on loopback addresses, until Close.
type Process struct {
	PlatformAddr string // of the platform's services, as IP address and port
	AdminAddr    string // of the administrative interface

	servers []*Server
	admin   *Admin
	options Options
}

// Main runs a stand-in process with the command line's arguments until SIGTERM or SIGINT and returns the exit code.
func Main(args []string) int {
	o := Options{}
	if code, done := settings.ParseOptions("bramleystandin", args, &o); done {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := Start(o)
	if err != nil {
		fmt.Fprintf(os.Stderr, "bramleystandin: %v\n", err)
		return exitFailure
	}
	defer p.Close()
	fmt.Printf("platform http://%s\nadmin http://%s\n", p.PlatformAddr, p.AdminAddr)
	<-ctx.Done()
	return exitOK
}

// Start opens all listeners and, unless o.Unlisted is set, adds the endpoints to the host list. If a listener fails, it closes
// the others and returns the error. The caller must call Close.
func Start(o Options) (*Process, error) {
	p := &Process{options: o, admin: &Admin{Platform: NewPlatform(), Calls: NewCallCounter()}}
	if err := p.start(); err != nil {
		p.Close()
		return nil, err
	}
	if !o.Unlisted {
		p.admin.Platform.Hosts.Update(p.admin.EndpointHosts, nil)
	}
	return p, nil
}

func (p *Process) start() error {
	for i := range p.options.Endpoints {
		if err := p.addEngine(i); err != nil {
			return err
		}
	}
	for i := range p.options.PlainEndpoints {
		name := fmt.Sprintf("%s-%04d", p.options.PlainService, i)
		if err := p.addEndpoint(i, hostlist.Host{ID: name, Service: p.options.PlainService}, NewPlainService(name).Handler()); err != nil {
			return err
		}
	}
	var err error
	if p.PlatformAddr, err = p.serve(p.options.Listen, p.admin.Calls.Wrap(p.admin.Platform.Handler())); err != nil {
		return err
	}
	p.AdminAddr, err = p.serve(p.options.AdminListen, p.admin.Handler())
	return err
}

// addEngine serves model endpoint number i with one of the versions, in turn.
func (p *Process) addEngine(i int) error {
	o := p.options
	versions := []string{o.Versions[i%len(o.Versions)]}
	e := NewEngine(EngineSpec{
		Name: fmt.Sprintf("%s-%04d", o.Service, i), Versions: versions, Slots: o.Slots, AnswerTokens: o.AnswerTokens, TokenDelay: o.TokenDelay, FirstTokenDelay: o.FirstTokenDelay,
	})
	p.admin.Engines = append(p.admin.Engines, e)
	return p.addEndpoint(i, hostlist.Host{ID: e.spec.Name, Service: o.Service, Versions: versions}, e.Handler())
}

// addEndpoint serves an endpoint on a free port and fills in its host list entry. Failure domains take turns, and each
// endpointsPerRack endpoints of a failure domain share a rack.
func (p *Process) addEndpoint(i int, h hostlist.Host, handler http.Handler) error {
	const endpointsPerRack = 8
	domains := p.options.Domains
	addr, err := p.serve("127.0.0.1:0", handler)
	if err != nil {
		return err
	}
	h.Role, h.State, h.Addr, h.Domain = hostlist.RoleEndpoint, hostlist.StateLive, addr, domains[i%len(domains)]
	h.Rack = fmt.Sprintf("%s-rack-%d", strings.ToLower(h.Domain), i/len(domains)/endpointsPerRack)
	p.admin.EndpointHosts = append(p.admin.EndpointHosts, h)
	return nil
}

func (p *Process) serve(addr string, handler http.Handler) (string, error) {
	s, err := Serve(addr, handler)
	if err != nil {
		return "", err
	}
	p.servers = append(p.servers, s)
	return s.Addr, nil
}

// Close stops all servers and drops their connections.
func (p *Process) Close() {
	for _, s := range p.servers {
		s.Close()
	}
}
