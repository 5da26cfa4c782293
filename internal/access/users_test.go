package access

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

// usersFixture is a users' file with a user of one team, who has two tokens, and an operator.
type usersFixture struct {
	path                     string
	first, second, operator  string // tokens
	firstSum, operatorSum    string
	userBlock, operatorBlock string
	users                    *Users
}

func newUsersFixture(t *testing.T) *usersFixture {
	t.Helper()
	f := &usersFixture{path: filepath.Join(t.TempDir(), "users.hcl")}
	var secondSum string
	f.first, f.firstSum = NewToken()
	f.second, secondSum = NewToken()
	f.operator, f.operatorSum = NewToken()
	f.userBlock = fmt.Sprintf(
		"user \"ada\" {\n tokens_sha256 = [%q, %q]\n teams = [\"red\"]\n}\n", f.firstSum, secondSum)
	f.operatorBlock = fmt.Sprintf("user \"ops\" {\n tokens_sha256 = [%q]\n operator = true\n}\n", f.operatorSum)
	f.write(t, f.userBlock+f.operatorBlock)
	users, err := LoadUsers(f.path, map[string]bool{"red": true, "blue": true})
	if err != nil {
		t.Fatal(err)
	}
	f.users = users
	return f
}

func (f *usersFixture) write(t *testing.T, text string) {
	t.Helper()
	writeFile(t, f.path, []byte(text))
}

// While a token is replaced both authenticate; a sum, an extended and an empty token don't.
func TestTokensAuthenticateTheirUser(t *testing.T) {
	f := newUsersFixture(t)
	for token, want := range map[string]string{
		f.first:       "ada",
		f.second:      "ada",
		f.operator:    "ops",
		f.first + "x": "",
		"":            "",
		f.firstSum:    "",
	} {
		got := ""
		if user := f.users.Authenticate(token); user != nil {
			got = user.Name
		}
		if got != want {
			t.Errorf("%q authenticates %q, want %q", token, got, want)
		}
	}
}

func TestUsersActForTheirTeamsAndOperatorsForAll(t *testing.T) {
	f := newUsersFixture(t)
	if user := f.users.Authenticate(f.first); !user.MayActFor("red") || user.MayActFor("blue") || user.Operator {
		t.Errorf("%+v", user)
	}
	if user := f.users.Authenticate(f.operator); !user.MayActFor("blue") || !user.Operator {
		t.Errorf("%+v", user)
	}
}

// A file with an error leaves the former users.
func TestBadUsersFileIsNamedAndIgnored(t *testing.T) {
	f := newUsersFixture(t)
	for bad, want := range map[string]string{
		f.operatorBlock + f.operatorBlock:                                            "one block",
		strings.Replace(f.userBlock, "red", "green", 1):                              `no team "green"`,
		strings.Replace(f.operatorBlock, f.operatorSum, f.operatorSum[1:], 1):        "64 hexadecimal",
		f.userBlock + strings.Replace(f.operatorBlock, f.operatorSum, f.firstSum, 1): "somebody's already",
		"user \"x\" {\n":                  "users.hcl",
		`user "x" { tokens_sha256 = [] }`: "empty",
	} {
		f.write(t, bad)
		if err := f.users.Reload(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v does not contain %q", bad, err, want)
		}
		if f.users.Authenticate(f.first) == nil || f.users.Authenticate(f.operator) == nil {
			t.Fatal("a file with an error locked users out")
		}
	}
}

// A block that is refused is a UserError that can be told by its user.
func TestRefusedBlockIsAUserError(t *testing.T) {
	f := newUsersFixture(t)
	f.write(t, strings.Replace(f.userBlock, "red", "green", 1))
	err := f.users.Reload()
	var refused *UserError
	if !errors.As(err, &refused) || refused.User != "ada" ||
		err.Error() != f.path+`: user "ada": there is no team "green"` {
		t.Errorf("error %v", err)
	}
}

func TestRemovedUserIsNoLongerAuthenticated(t *testing.T) {
	f := newUsersFixture(t)
	f.write(t, f.operatorBlock)
	if err := f.users.Reload(); err != nil {
		t.Fatal(err)
	}
	if f.users.Authenticate(f.first) != nil || f.users.Authenticate(f.operator) == nil {
		t.Fatalf("removed user %v, operator %v", f.users.Authenticate(f.first), f.users.Authenticate(f.operator))
	}
}
