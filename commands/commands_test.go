package commands_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/commands"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commands")
}

var _ = Describe("the command line", func() {
	DescribeTable("exits with the documented code", func(want int, args ...string) {
		Expect(commands.Run(args)).To(Equal(want))
	},
		Entry("help", commands.ExitOK, "--help"),
		Entry("help of a command", commands.ExitOK, "submit", "--help"),
		Entry("table of error kinds", commands.ExitOK, "errors"),
		Entry("valid settings file", commands.ExitOK, "config", "check", "--role", "entry", "../examples/entry.hujson"),
		Entry("settings file of another role", commands.ExitUsage, "config", "check", "--role", "agent", "../examples/entry.hujson"),
		Entry("missing settings file", commands.ExitUsage, "entry", "--config", "no-such-file"),
		Entry("unknown command", commands.ExitUsage, "frobnicate"),
		Entry("unknown option", commands.ExitUsage, "submit", "--frobnicate"),
		Entry("payload that is not JSON", commands.ExitUsage, "submit", "--payload", "{"),
		Entry("unknown distribution", commands.ExitUsage, "load", "--fan-out", "zipf:1"),
		Entry("submission to an entry that is not running", commands.ExitNoAnswer, "submit", "--entry", "http://127.0.0.1:9", "--timeout", "100ms"),
		Entry("state of an entry that is not running", commands.ExitNoAnswer, "status", "--entry", "http://127.0.0.1:9"),
		Entry("state of a coordinator that is not running", commands.ExitNoAnswer, "status", "--coordinator", "http://127.0.0.1:9"),
	)

	It("generates the pages that are under docs", func() {
		pages, err := commands.Pages()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(pages)).To(BeNumerically(">", 8))
		for name, text := range pages {
			got, err := os.ReadFile(filepath.Join("..", "docs", name))
			Expect(err).NotTo(HaveOccurred(), "run make docs")
			Expect(string(got)).To(Equal(string(text)), "%s: run make docs", name)
		}
	})
})
