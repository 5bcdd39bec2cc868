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
	DescribeTable("ends with the documented code", func(want int, args ...string) {
		Expect(commands.Run(args)).To(Equal(want))
	},
		Entry("help", commands.ExitOK, "--help"),
		Entry("help on a command", commands.ExitOK, "submit", "--help"),
		Entry("the table of errors", commands.ExitOK, "errors"),
		Entry("a good settings file", commands.ExitOK, "config", "check", "--role", "entry", "../examples/entry.hujson"),
		Entry("settings of another role", commands.ExitUsage, "config", "check", "--role", "agent", "../examples/entry.hujson"),
		Entry("a file that is not there", commands.ExitUsage, "entry", "--config", "no-such-file"),
		Entry("no such command", commands.ExitUsage, "frobnicate"),
		Entry("no such flag", commands.ExitUsage, "submit", "--frobnicate"),
		Entry("a payload that is no JSON", commands.ExitUsage, "submit", "--payload", "{"),
		Entry("a distribution that is not known", commands.ExitUsage, "load", "--fan-out", "zipf:1"),
		Entry("nobody there", commands.ExitNoAnswer, "submit", "--entry", "http://127.0.0.1:9", "--timeout", "100ms"),
		Entry("nobody there to ask for a state", commands.ExitNoAnswer, "status", "--entry", "http://127.0.0.1:9"),
		Entry("no coordinator there to ask", commands.ExitNoAnswer, "status", "--coordinator", "http://127.0.0.1:9"),
	)

	It("has the pages under docs that it would write", func() {
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
