package access

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"

	"github.com/hashicorp/hcl/v2/hclsimple"
)

// Identity is an authenticated user.
type Identity struct {
	Name     string
	Operator bool // may give operators' commands, and act for every team
	teams    []string
}

// MayActFor reports whether the user may submit and cancel jobs of a team.
func (i *Identity) MayActFor(team string) bool { return i.Operator || slices.Contains(i.teams, team) }

// usersFile is the users' file, in HCL.
type usersFile struct {
	Users []userBlock `hcl:"user,block"`
}

// userBlock is one user in the users' file.
type userBlock struct {
	Name string `hcl:"name,label"`
	// TokenSums are SHA-256 sums, in hexadecimal: two while a token is being replaced. The file doesn't reveal the
	// tokens, and a token has enough entropy that a slow hash would add nothing.
	TokenSums []string `hcl:"tokens_sha256"`
	Teams     []string `hcl:"teams,optional"`
	Operator  bool     `hcl:"operator,optional"`
}

// tokenSum is the SHA-256 sum of a token.
type tokenSum = [sha256.Size]byte

// Users holds the users by their tokens. It is safe for concurrent use, except for Reload.
type Users struct {
	files   watchedFiles
	teams   map[string]bool
	current atomic.Pointer[map[tokenSum]*Identity]
}

// LoadUsers reads the users' file. A user's teams must be among the given ones. A block that is refused is a
// *UserError.
func LoadUsers(path string, teams map[string]bool) (*Users, error) {
	users := &Users{files: watchedFiles{paths: []string{path}}, teams: teams}
	return users, users.load()
}

func (u *Users) load() error {
	contents, changed, err := u.files.read()
	if err != nil || !changed {
		return err
	}
	path := u.files.paths[0]
	var file usersFile
	if err := hclsimple.Decode(path, contents[0], nil, &file); err != nil {
		return err
	}
	byToken, err := u.index(file.Users)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	u.current.Store(&byToken)
	return nil
}

// index returns the users by the sums of their tokens.
func (u *Users) index(blocks []userBlock) (map[tokenSum]*Identity, error) {
	byToken := map[tokenSum]*Identity{}
	names := map[string]bool{}
	for i := range blocks {
		block := &blocks[i]
		if block.Name == "" || names[block.Name] {
			return nil, block.refuse("a user has one block and a name")
		}
		names[block.Name] = true
		if err := u.addTokens(byToken, block); err != nil {
			return nil, err
		}
	}
	return byToken, nil
}

// addTokens adds a user's tokens to the index.
func (u *Users) addTokens(byToken map[tokenSum]*Identity, block *userBlock) error {
	if len(block.TokenSums) == 0 {
		return block.refuse("tokens_sha256 is empty")
	}
	for _, team := range block.Teams {
		if !u.teams[team] {
			return block.refuse("there is no team %q", team)
		}
	}
	identity := &Identity{Name: block.Name, Operator: block.Operator, teams: block.Teams}
	for _, text := range block.TokenSums {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			return block.refuse(
				"tokens_sha256 takes sums of 64 hexadecimal digits, as `harewalk token new` prints them")
		}
		sum := tokenSum(raw)
		if byToken[sum] != nil {
			return block.refuse("its token is somebody's already")
		}
		byToken[sum] = identity
	}
	return nil
}

// UserError is a user's block of the users' file that is refused.
type UserError struct {
	User   string
	Reason string
}

// Error names the user, and why the block is refused.
func (e *UserError) Error() string { return fmt.Sprintf("user %q: %s", e.User, e.Reason) }

// refuse returns the error that refuses the block, with a formatted reason.
func (b *userBlock) refuse(format string, values ...any) error {
	return &UserError{User: b.Name, Reason: fmt.Sprintf(format, values...)}
}

// Reload takes over a file that has changed. On an error the former users stay.
func (u *Users) Reload() error {
	former := u.current.Load()
	if err := u.load(); err != nil {
		return err
	}
	if current := u.current.Load(); current != former {
		slog.Info("users reloaded", "tokens", len(*current))
	}
	return nil
}

// Authenticate returns the user of a token, nil if there is none. Only sums are compared, which a client can't choose,
// so the time that it takes reveals nothing about the tokens.
func (u *Users) Authenticate(token string) *Identity {
	if token == "" {
		return nil
	}
	return (*u.current.Load())[sha256.Sum256([]byte(token))]
}
