package access

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"

	"github.com/hashicorp/hcl/v2/hclsimple"
)

// Identity is somebody whose token is known.
type Identity struct {
	Name     string
	Operator bool // may give operators' commands, and act for every team
	teams    []string
}

// MayActFor tells whether jobs of a team may be submitted and cancelled.
func (w *Identity) MayActFor(team string) bool { return w.Operator || slices.Contains(w.teams, team) }

// userBlock is one block of the users' file.
type userBlock struct {
	Name string `hcl:"name,label"`
	// TokenSums are SHA-256 sums, in hexadecimal: two while a token is being replaced. The file does
	// not give a token away, and a token has so much chance in it that a slow hash adds nothing.
	TokenSums []string `hcl:"tokens_sha256"`
	Teams     []string `hcl:"teams,optional"`
	Operator  bool     `hcl:"operator,optional"`
}

type usersFile struct {
	Users []userBlock `hcl:"user,block"`
}

type tokenSum = [sha256.Size]byte

// Users are all whose tokens are known.
type Users struct {
	files   watchedFiles
	teams   map[string]bool
	current atomic.Pointer[map[tokenSum]*Identity]
}

// OpenUsers reads the users' file; teams are those there are.
func OpenUsers(file string, teams map[string]bool) (*Users, error) {
	u := &Users{files: watchedFiles{names: []string{file}}, teams: teams}
	return u, u.load()
}

func (u *Users) load() error {
	raws, changed, err := u.files.read()
	if err != nil || !changed {
		return err
	}
	var f usersFile
	if err := hclsimple.Decode(u.files.names[0], raws[0], nil, &f); err != nil {
		return err
	}
	by, err := u.index(f.Users)
	if err != nil {
		return fmt.Errorf("%s: %w", u.files.names[0], err)
	}
	u.current.Store(&by)
	return nil
}

func (u *Users) index(users []userBlock) (map[tokenSum]*Identity, error) {
	by, names := map[tokenSum]*Identity{}, map[string]bool{}
	for _, d := range users {
		wrong := func(why string) error { return fmt.Errorf("user %q: %s", d.Name, why) }
		switch {
		case names[d.Name] || d.Name == "":
			return nil, wrong("a user has one block and a name")
		case len(d.TokenSums) == 0:
			return nil, wrong("tokens_sha256 is empty")
		}
		names[d.Name] = true
		for _, t := range d.Teams {
			if !u.teams[t] {
				return nil, wrong(fmt.Sprintf("there is no team %q", t))
			}
		}
		w := &Identity{Name: d.Name, Operator: d.Operator, teams: d.Teams}
		for _, text := range d.TokenSums {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != sha256.Size {
				return nil, wrong("tokens_sha256 takes sums of 64 hexadecimal digits, as `harewalk token new` prints them")
			}
			if by[tokenSum(raw)] != nil {
				return nil, wrong("its token is somebody's already")
			}
			by[tokenSum(raw)] = w
		}
	}
	return by, nil
}

// Check takes a changed file over.
func (u *Users) Check() error {
	was := u.current.Load()
	err := u.load()
	if err == nil && u.current.Load() != was {
		slog.Info("users", "change", "read anew", "tokens", len(*u.current.Load()))
	}
	return err
}

// Authenticate finds whose token this is; nil: nobody's. What is compared is a sum that nobody can choose,
// so the time it takes tells nothing of the tokens.
func (u *Users) Authenticate(token string) *Identity {
	if token == "" {
		return nil
	}
	return (*u.current.Load())[sha256.Sum256([]byte(token))]
}

// NewToken draws a token and tells its sum.
func NewToken() (token, sumHex string, err error) {
	raw := make([]byte, 32)
	if _, err := rand.Read(raw); err != nil {
		return "", "", errors.New("the system gives no randomness")
	}
	token = "hw_" + base64.RawURLEncoding.EncodeToString(raw)
	s := sha256.Sum256([]byte(token))
	return token, hex.EncodeToString(s[:]), nil
}
