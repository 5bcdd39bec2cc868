package config_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/lib/golden"
)

// required replaces the keys without a default by ones with a valid value.
var required = strings.NewReplacer(
	`"holders": null`, `"holders": ["10.0.0.1:7071"]`,
	`"teams": null`, `"teams": ["tabua"]`,
	`"pools": null`, `"pools": ["claims"]`,
	`"url": ""`, `"url": "http://10.0.0.7:9000"`,
	`"address": ""`, `"address": "10.0.0.7:9000"`,
	`"listen": ""`, `"listen": "10.0.0.7:9001"`,
)

// TestSettingsOfRoles compares all keys and defaults of every role, as `config example` prints them,
// with the golden files, and checks that a file with all of them is accepted.
func TestSettingsOfRoles(t *testing.T) {
	for _, r := range config.Roles() {
		text, err := json.MarshalIndent(r.Defaults(), "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, r.Name+".golden", string(text)+"\n")
		if err := config.Parse(r.Name, []byte(required.Replace(string(text))), r.Defaults()); err != nil {
			t.Error(err)
		}
	}
}
