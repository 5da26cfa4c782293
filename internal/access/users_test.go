package access

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

// usersFixture is a users' file with the user ada, who has two tokens and the team red, and the operator ops.
type usersFixture struct {
	path                     string
	first, second, operator  string // ada's two tokens and the operator's token
	firstSum, operatorSum    string // token sums, in hexadecimal
	userBlock, operatorBlock string // blocks of the users' file
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

// While a token is being replaced, the old and the new token both authenticate their user. A token sum, a token with an
// additional character and an empty token authenticate nobody.
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
			t.Errorf("token %q: user %q, want %q", token, got, want)
		}
	}
}

func TestUsersActForTheirTeamsAndOperatorsForAll(t *testing.T) {
	f := newUsersFixture(t)
	if user := f.users.Authenticate(f.first); !user.MayActFor("red") || user.MayActFor("blue") || user.Operator {
		t.Errorf("user %+v, want one who may act for the team red only and isn't an operator", user)
	}
	if user := f.users.Authenticate(f.operator); !user.MayActFor("blue") || !user.Operator {
		t.Errorf("user %+v, want an operator who may act for the team blue", user)
	}
}

// If the users' file becomes invalid, Reload returns an error that says what is wrong, and the former users stay.
func TestInvalidUsersFileLeavesFormerUsers(t *testing.T) {
	f := newUsersFixture(t)
	for bad, want := range map[string]string{
		f.operatorBlock + f.operatorBlock:                                            "one block",
		strings.Replace(f.userBlock, "red", "green", 1):                              `no team "green"`,
		strings.Replace(f.operatorBlock, f.operatorSum, f.operatorSum[1:], 1):        "64 hexadecimal",
		f.userBlock + strings.Replace(f.operatorBlock, f.operatorSum, f.firstSum, 1): "occurs twice",
		"user \"x\" {\n":                  "users.hcl",
		`user "x" { tokens_sha256 = [] }`: "empty",
	} {
		f.write(t, bad)
		if err := f.users.Reload(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that contains %q", bad, err, want)
		}
		if f.users.Authenticate(f.first) == nil || f.users.Authenticate(f.operator) == nil {
			t.Fatalf("after an invalid file: user %v, operator %v, want both authenticated",
				f.users.Authenticate(f.first), f.users.Authenticate(f.operator))
		}
	}
}

// The error for an invalid block is a UserError with the user's name.
func TestInvalidBlockIsAUserError(t *testing.T) {
	f := newUsersFixture(t)
	f.write(t, strings.Replace(f.userBlock, "red", "green", 1))
	err := f.users.Reload()
	var userErr *UserError
	if !errors.As(err, &userErr) || userErr.User != "ada" ||
		err.Error() != f.path+`: user "ada": there is no team "green"` {
		t.Errorf("error %v, want a UserError for ada about the team green", err)
	}
}

func TestRemovedUserIsNoLongerAuthenticated(t *testing.T) {
	f := newUsersFixture(t)
	f.write(t, f.operatorBlock)
	if err := f.users.Reload(); err != nil {
		t.Fatal(err)
	}
	if f.users.Authenticate(f.first) != nil || f.users.Authenticate(f.operator) == nil {
		t.Fatalf("removed user %v, want nil; operator %v, want one", f.users.Authenticate(f.first), f.users.Authenticate(f.operator))
	}
}
