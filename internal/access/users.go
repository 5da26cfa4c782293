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
	Operator bool // may run operators' commands, and act for every team
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
	// TokenSums are the SHA-256 sums of the user's tokens, in hexadecimal. There are two while a token is being
	// replaced. The file doesn't reveal the tokens. A slow hash isn't needed, since tokens have enough entropy.
	TokenSums []string `hcl:"tokens_sha256"`
	Teams     []string `hcl:"teams,optional"`
	Operator  bool     `hcl:"operator,optional"`
}

// tokenSum is the SHA-256 sum of a token.
type tokenSum = [sha256.Size]byte

// Users holds the users by their tokens' sums. It is safe for concurrent use, except that calls of Reload must not
// overlap.
type Users struct {
	files   watchedFiles
	teams   map[string]bool
	current atomic.Pointer[map[tokenSum]*Identity]
}

// LoadUsers reads the users' file. Each user's teams must be among the given teams. The error for an invalid block is a
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

// index returns the users by the sums of their tokens, or an error for the first invalid block.
func (u *Users) index(blocks []userBlock) (map[tokenSum]*Identity, error) {
	byToken := map[tokenSum]*Identity{}
	names := map[string]bool{}
	for i := range blocks {
		block := &blocks[i]
		if block.Name == "" || names[block.Name] {
			return nil, block.errorf("a user needs a name and exactly one block")
		}
		names[block.Name] = true
		if err := u.addTokens(byToken, block); err != nil {
			return nil, err
		}
	}
	return byToken, nil
}

// addTokens adds the token sums of a user's block to the index, or returns an error if the block is invalid.
func (u *Users) addTokens(byToken map[tokenSum]*Identity, block *userBlock) error {
	if len(block.TokenSums) == 0 {
		return block.errorf("tokens_sha256 is empty")
	}
	for _, team := range block.Teams {
		if !u.teams[team] {
			return block.errorf("there is no team %q", team)
		}
	}
	identity := &Identity{Name: block.Name, Operator: block.Operator, teams: block.Teams}
	for _, text := range block.TokenSums {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			return block.errorf(
				"tokens_sha256 must contain sums of 64 hexadecimal digits, as printed by `harewalk token new`")
		}
		sum := tokenSum(raw)
		if byToken[sum] != nil {
			return block.errorf("a sum in tokens_sha256 occurs twice in the file")
		}
		byToken[sum] = identity
	}
	return nil
}

// UserError reports an invalid block of the users' file.
type UserError struct {
	User   string
	Reason string
}

// Error returns the user's name and the reason why the block is invalid.
func (e *UserError) Error() string { return fmt.Sprintf("user %q: %s", e.User, e.Reason) }

// errorf returns a *UserError for the block, with a formatted reason.
func (b *userBlock) errorf(format string, values ...any) error {
	return &UserError{User: b.Name, Reason: fmt.Sprintf(format, values...)}
}

// Reload applies the users' file if it has changed. On an error the former users stay.
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

// Authenticate returns the user of a token, or nil if no user has the token. Only sums are compared. Since a client
// can't choose a sum, the time of the comparison reveals nothing about the tokens.
func (u *Users) Authenticate(token string) *Identity {
	if token == "" {
		return nil
	}
	return (*u.current.Load())[sha256.Sum256([]byte(token))]
}
