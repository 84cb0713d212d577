package command

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	// keyBytes makes a key that can't be guessed, so its plain hash is safe to
	// keep under version control.
	keyBytes  = 32
	keyPrefix = "bl_"
)

type keyText struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
	// Token is the line for a node's operator settings.
	Token string `json:"token,omitempty"`
}

func keyCommand(a *App) *ffcli.Command {
	fs := a.Flags("key")
	asJSON := false
	a.jsonFlag(fs, &asJSON)
	operator := fs.String("operator", "", "make an operator's token for this `NAME` in place of an organisation's key")
	return &ffcli.Command{
		Name: "key", ShortUsage: name + " key [flags]", FlagSet: fs,
		ShortHelp: "make an API key, and the hash of it to declare",
		LongHelp:  "The key is shown this once and kept nowhere; the hash goes into the organisation's\ndeclaration, or into the nodes' operator settings.\n\n" + exitHelp,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 0 {
				return &UsageError{Text: "key takes no arguments"}
			}
			if strings.ContainsAny(*operator, ":, \t\n") {
				return &SettingError{"operator", "a name has no colon, comma or space"}
			}
			t := newKey(*operator)
			if asJSON {
				return a.writeJSON(t)
			}
			text := fmt.Sprintf("key:  %s\nhash: %s\n", t.Key, t.Hash)
			if t.Token != "" {
				text += fmt.Sprintf("setting of the nodes: %s\n", t.Token)
			}
			return a.write(text)
		},
	}
}

func newKey(operator string) keyText {
	b := make([]byte, keyBytes)
	// It never fails: the library ends the process rather than hand out bytes
	// that could be guessed.
	_, _ = rand.Read(b)
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(b)
	sum := sha256.Sum256([]byte(key))
	t := keyText{Key: key, Hash: hex.EncodeToString(sum[:])}
	if operator != "" {
		t.Token = operator + ":" + t.Hash
	}
	return t
}
