// Package settings reads a daemon's settings from flags and environment variables and validates them together.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
)

// Settings holds the settings of one daemon. They are fixed at its start; everything that may change while the daemon
// runs is in the configuration.
type Settings struct {
	ID             string   `long:"id" env:"BRAMLEY_ID" description:"identity of this daemon in the host list" required:"true"`
	Deployment     string   `long:"deployment" env:"BRAMLEY_DEPLOYMENT" description:"name of the deployment; daemons refuse connections from daemons of another one" default:"bramleytrail"`
	Domain         string   `long:"domain" env:"BRAMLEY_DOMAIN" description:"failure domain of this host" required:"true"`
	Rack           string   `long:"rack" env:"BRAMLEY_RACK" description:"rack of this host"`
	Listen         string   `long:"listen" env:"BRAMLEY_LISTEN" description:"IP address and port for callers" default:"127.0.0.1:8080"`
	PeerListen     string   `long:"peer-listen" env:"BRAMLEY_PEER_LISTEN" description:"IP address and port for other daemons" default:"127.0.0.1:8081"`
	PeerAdvertise  string   `long:"peer-advertise" env:"BRAMLEY_PEER_ADVERTISE" description:"IP address and port that other daemons dial (default: the one of --peer-listen)"`
	Seeds          []string `long:"seed" env:"BRAMLEY_SEEDS" env-delim:"," description:"peer address of another daemon, used while no host list is known; may be repeated"`
	OperatorListen string   `long:"operator-listen" env:"BRAMLEY_OPERATOR_LISTEN" description:"IP address and port for operators" default:"127.0.0.1:8082"`
	Store          string   `long:"store" env:"BRAMLEY_STORE" description:"URL of the platform's key-value service" required:"true"`
	Hosts          string   `long:"hosts" env:"BRAMLEY_HOSTS" description:"URL of the platform's host list" required:"true"`
	Ratings        string   `long:"ratings" env:"BRAMLEY_RATINGS" description:"URL of the platform's rating service"`
	Weights        string   `long:"weights" env:"BRAMLEY_WEIGHTS" description:"URL of the platform's weight store; without it this daemon places no versions"`
	OrderTokenFile string   `long:"order-token-file" env:"BRAMLEY_ORDER_TOKEN_FILE" description:"file with the token for endpoints that authenticate the sender of orders"`
	SessionKeyFile string   `long:"session-key-file" env:"BRAMLEY_SESSION_KEY_FILE" description:"file with the secret that signs session tokens, the same for all daemons" required:"true"`

	TLSCert     string `long:"tls-cert" env:"BRAMLEY_TLS_CERT" description:"PEM file with the certificate for callers; without it callers use plain HTTP"`
	TLSKey      string `long:"tls-key" env:"BRAMLEY_TLS_KEY" description:"PEM file with the key of --tls-cert"`
	PeerTLSCert string `long:"peer-tls-cert" env:"BRAMLEY_PEER_TLS_CERT" description:"PEM file with this daemon's certificate towards other daemons; without it they use plain TCP"`
	PeerTLSKey  string `long:"peer-tls-key" env:"BRAMLEY_PEER_TLS_KEY" description:"PEM file with the key of --peer-tls-cert"`
	PeerTLSCA   string `long:"peer-tls-ca" env:"BRAMLEY_PEER_TLS_CA" description:"PEM file with the certificates that sign the daemons' certificates"`

	MaxInFlight         int           `long:"max-in-flight" env:"BRAMLEY_MAX_IN_FLIGHT" description:"requests in flight in this daemon" default:"2000"`
	MaxConnections      int           `long:"max-connections" env:"BRAMLEY_MAX_CONNECTIONS" description:"open connections of callers" default:"8000"`
	MemoryMB            int           `long:"memory-mb" env:"BRAMLEY_MEMORY_MB" description:"memory in MiB that this daemon may use; bounds what callers make it hold, see below, and its heap; 0 for 1024 without a bound on the heap" default:"0"`
	QueueWait           time.Duration `long:"queue-wait" env:"BRAMLEY_QUEUE_WAIT" description:"longest wait for room at an endpoint" default:"5s"`
	StallTimeout        time.Duration `long:"stall-timeout" env:"BRAMLEY_STALL_TIMEOUT" description:"longest time for which a caller may read nothing" default:"2m"`
	PauseAfter          time.Duration `long:"pause-after" env:"BRAMLEY_PAUSE_AFTER" description:"time after which a streamed answer that its caller does not read gives up its endpoint; 0 for never" default:"10s"`
	Settle              time.Duration `long:"settle" env:"BRAMLEY_SETTLE" description:"time within which every daemon sees a change of the host list" default:"3s"`
	BillInterval        time.Duration `long:"bill-interval" env:"BRAMLEY_BILL_INTERVAL" description:"time between writes of bills" default:"10s"`
	CopyTimeout         time.Duration `long:"copy-timeout" env:"BRAMLEY_COPY_TIMEOUT" description:"longest wait for the copy of a bill" default:"100ms"`
	ClaimWrites         float64       `long:"claim-writes" env:"BRAMLEY_CLAIM_WRITES" description:"claim writes a second of this daemon; 0 for its share of --claim-budget" default:"0"`
	ClaimBudget         float64       `long:"claim-budget" env:"BRAMLEY_CLAIM_BUDGET" description:"claim writes a second of all daemons, divided among those that the host list shows as live" default:"260"`
	PollsPerSecond      int           `long:"polls-per-second" env:"BRAMLEY_POLLS_PER_SECOND" description:"load reports that this daemon reads a second" default:"8"`
	DutyTTL             time.Duration `long:"duty-ttl" env:"BRAMLEY_DUTY_TTL" description:"time after which a silent holder of a duty is replaced" default:"9s"`
	EvidenceInterval    time.Duration `long:"evidence-interval" env:"BRAMLEY_EVIDENCE_INTERVAL" description:"time between reports on versions under roll-out" default:"10s"`
	RatingInterval      time.Duration `long:"rating-interval" env:"BRAMLEY_RATING_INTERVAL" description:"time between reads of the rating service" default:"30s"`
	ExploreShare        float64       `long:"explore-requests" env:"BRAMLEY_EXPLORE_REQUESTS" description:"part of a team's requests that may explore cheaper versions" default:"0.05"`
	ExploreCost         float64       `long:"explore-cost" env:"BRAMLEY_EXPLORE_COST" description:"part of a team's cost that may explore cheaper versions" default:"0.05"`
	HedgeShare          float64       `long:"hedge-share" env:"BRAMLEY_HEDGE_SHARE" description:"part of the requests that may be sent to a second endpoint when the first token is late; 0 for none" default:"0.05"`
	CacheMoves          int           `long:"cache-moves" env:"BRAMLEY_CACHE_MOVES" description:"KV caches that this daemon moves between endpoints at a time; 0 turns moves off" default:"1"`
	CacheMovesPerSource int           `long:"cache-moves-per-source" env:"BRAMLEY_CACHE_MOVES_PER_SOURCE" description:"KV caches that this daemon reads from one endpoint at a time" default:"1"`
	CacheMoveBytes      int64         `long:"cache-move-bytes" env:"BRAMLEY_CACHE_MOVE_BYTES" description:"largest KV cache that is moved" default:"2147483648"`
	CacheMoveTime       time.Duration `long:"cache-move-time" env:"BRAMLEY_CACHE_MOVE_TIME" description:"longest time of a move" default:"2s"`
	LogLevel            string        `long:"log-level" env:"BRAMLEY_LOG_LEVEL" description:"error, warn, info or debug" default:"info"`

	SessionKey []byte `no-flag:"true"`
	OrderToken string `no-flag:"true"`
}

// minMemoryMB is the least memory with which a daemon can serve; idle, it uses some 20 MiB.
const minMemoryMB = 48

// minSessionKeyBytes is the shortest accepted session key; a shorter one could be guessed.
const minSessionKeyBytes = 16

// ErrHelp means that the arguments asked for help, which has been printed.
var ErrHelp = errors.New("help requested")

// Parse reads the settings from args and the environment and validates them. It returns ErrHelp if help was requested,
// and fails on the first argument that can't be parsed. All problems of the values are joined in one error.
func Parse(program string, args []string) (*Settings, error) {
	s := &Settings{}
	if err := parse(program, args, s); err != nil {
		return nil, err
	}
	var err error
	s.SessionKey, err = readSessionKey(s.SessionKeyFile)
	return s, errors.Join(err, s.readOrderToken(), s.Check())
}

// Options are the settings of a program other than the daemon.
type Options interface {
	// Check validates the options and returns all problems joined.
	Check() error
}

// ParseOptions reads options from flags and environment variables into o, validates them and prints help or errors. If
// done is true, the program must exit with code: 0 after help, 2 after errors.
func ParseOptions(program string, args []string, o Options) (code int, done bool) {
	err := parse(program, args, o)
	if err == nil {
		err = o.Check()
	}
	switch {
	case err == nil:
		return 0, false
	case errors.Is(err, ErrHelp):
		return 0, true
	default:
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return exitUsage, true
	}
}

// exitUsage is the exit code for invalid arguments.
const exitUsage = 2

// parse reads flags and environment variables into options. It returns ErrHelp after printing help.
func parse(program string, args []string, options any) error {
	p := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Settings", "", options); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	unexpected, err := p.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(os.Stdout, flagErr.Message)
		return ErrHelp
	}
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(unexpected) > 0 {
		return fmt.Errorf("settings: unexpected argument %q", unexpected[0])
	}
	return nil
}

// countSet returns the number of non-empty values.
func countSet(values ...string) int {
	n := 0
	for _, v := range values {
		if v != "" {
			n++
		}
	}
	return n
}

// readOrderToken reads OrderToken from OrderTokenFile, if one is set.
func (s *Settings) readOrderToken() error {
	if s.OrderTokenFile == "" {
		return nil
	}
	data, err := os.ReadFile(s.OrderTokenFile)
	if err != nil {
		return fmt.Errorf("--order-token-file: %w", err)
	}
	s.OrderToken = strings.TrimSpace(string(data))
	return nil
}

func readSessionKey(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("--session-key-file: %w", err)
	}
	return []byte(strings.TrimSpace(string(data))), nil
}

var nameFormat = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Check validates the settings and returns all problems joined.
func (s *Settings) Check() error {
	var errs []error
	report := func(flag, format string, args ...any) {
		errs = append(errs, fmt.Errorf("--%s: %s", flag, fmt.Sprintf(format, args...)))
	}
	for flag, v := range map[string]string{"id": s.ID, "domain": s.Domain} {
		if !nameFormat.MatchString(v) {
			report(flag, "%q is not a name of a-z, 0-9, '-' and '.'", v)
		}
	}
	for flag, v := range map[string]string{"listen": s.Listen, "peer-listen": s.PeerListen, "operator-listen": s.OperatorListen} {
		if _, err := netip.ParseAddrPort(v); err != nil {
			report(flag, "%q is not an IP address and port", v)
		}
	}
	if _, err := netip.ParseAddrPort(s.PeerAdvertise); s.PeerAdvertise != "" && err != nil {
		report("peer-advertise", "%q is not an IP address and port", s.PeerAdvertise)
	}
	for _, v := range s.Seeds {
		if _, err := netip.ParseAddrPort(v); err != nil {
			report("seed", "%q is not an IP address and port", v)
		}
	}
	for flag, v := range map[string]string{"store": s.Store, "hosts": s.Hosts} {
		if u, err := url.Parse(v); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			report(flag, "%q is not an http or https URL", v)
		}
	}
	if (s.TLSCert == "") != (s.TLSKey == "") {
		report("tls-cert", "must be set together with --tls-key")
	}
	if n := countSet(s.PeerTLSCert, s.PeerTLSKey, s.PeerTLSCA); n != 0 && n != 3 {
		report("peer-tls-cert", "must be set together with --peer-tls-key and --peer-tls-ca")
	}
	for flag, v := range map[string]int{"max-in-flight": s.MaxInFlight, "max-connections": s.MaxConnections, "polls-per-second": s.PollsPerSecond} {
		if v < 1 {
			report(flag, "%d is below 1", v)
		}
	}
	for flag, v := range map[string]time.Duration{
		"queue-wait": s.QueueWait, "stall-timeout": s.StallTimeout, "bill-interval": s.BillInterval, "copy-timeout": s.CopyTimeout,
		"duty-ttl": s.DutyTTL, "evidence-interval": s.EvidenceInterval, "rating-interval": s.RatingInterval,
	} {
		if v <= 0 {
			report(flag, "%s is not positive", v)
		}
	}
	for flag, v := range map[string]float64{"explore-requests": s.ExploreShare, "explore-cost": s.ExploreCost, "hedge-share": s.HedgeShare} {
		if !(v >= 0 && v <= 1) {
			report(flag, "%g is not between 0 and 1", v)
		}
	}
	if u, err := url.Parse(s.Ratings); s.Ratings != "" && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "") {
		report("ratings", "%q is not an http or https URL", s.Ratings)
	}
	if u, err := url.Parse(s.Weights); s.Weights != "" && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "") {
		report("weights", "%q is not an http or https URL", s.Weights)
	}
	if s.CacheMoves < 0 {
		report("cache-moves", "%d is negative", s.CacheMoves)
	}
	if s.CacheMoves > 0 && (s.CacheMovesPerSource < 1 || s.CacheMoveBytes < 1 || s.CacheMoveTime <= 0) {
		report("cache-moves", "needs positive --cache-moves-per-source, --cache-move-bytes and --cache-move-time")
	}
	if s.MemoryMB != 0 && s.MemoryMB < minMemoryMB {
		report("memory-mb", "%d is neither 0 nor at least %d", s.MemoryMB, minMemoryMB)
	}
	if s.Settle < 0 {
		report("settle", "%s is negative", s.Settle)
	}
	if !(s.ClaimWrites >= 0) {
		report("claim-writes", "%g is negative", s.ClaimWrites)
	}
	if !(s.ClaimBudget > 0) {
		report("claim-budget", "%g is not positive", s.ClaimBudget)
	}
	if len(s.SessionKey) < minSessionKeyBytes {
		report("session-key-file", "the key has %d bytes; want at least %d", len(s.SessionKey), minSessionKeyBytes)
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		report("log-level", "%q is unknown", s.LogLevel)
	}
	return errors.Join(errs...)
}
