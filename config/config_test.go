package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const good = `{
	// an entry
	"claims": {"holders": ["10.0.0.1:7071"]},
	"jobs": {"teams": ["tabua"], "pools": ["claims"], "max_timeout": "30s"},
}`

var _ = Describe("a settings file", func() {
	It("overrides the defaults", func() {
		e := config.DefaultEntry()
		Expect(config.Parse("entry.hujson", []byte(good), e)).To(Succeed())
		Expect(e.Jobs.MaxTimeout.D().String()).To(Equal("30s"))
		Expect(e.Jobs.MaxTasks).To(Equal(150))
	})

	It("has all its problems reported, each with line, field and allowed values", func() {
		text := strings.Replace(good, `"max_timeout": "30s"`, `"max_timeout": 30,
			"retries": 3,
			"attempts": 99,
			"max_tasks": "many"`, 1)
		text = strings.Replace(text, "10.0.0.1:7071", "localhost", 1)
		err := config.Parse("entry.hujson", []byte(text), config.DefaultEntry())
		Expect(strings.Split(err.Error(), "\n")).To(HaveExactElements(
			And(HavePrefix("entry.hujson:3: claims.holders[0]: "), ContainSubstring("an IP number and a port")),
			And(HavePrefix("entry.hujson:4: jobs.max_timeout: "), ContainSubstring(`a duration such as "250ms"`)),
			And(HavePrefix("entry.hujson:5: jobs.retries: unknown field"), ContainSubstring("retry_ratio")),
			And(HavePrefix("entry.hujson:6: jobs.attempts: 99 is out of range"), ContainSubstring("1 to 20")),
			And(HavePrefix("entry.hujson:7: jobs.max_tasks: "), ContainSubstring("a whole number")),
		))
	})

	DescribeTable("is rejected because of", func(text, want string) {
		err := config.Parse("f", []byte(text), config.DefaultEntry())
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("invalid JSON, with the line number", "{\n\"jobs\": }", "f:2: "),
		Entry("a field given twice", strings.Replace(good, `"teams"`, `"teams": ["x"], "teams"`, 1), "given twice"),
		Entry("a null", strings.Replace(good, `"30s"`, `null`, 1), "jobs.max_timeout"),
		Entry("an array in place of an object", `[]`, "an object"),
		Entry("a missing list of holders", `{"jobs": {"teams": ["a"], "pools": ["b"]}}`, "claims.holders: empty"),
		Entry("a duplicate holder", strings.Replace(good, `"10.0.0.1:7071"`, `"10.0.0.1:7071", "10.0.0.1:7071"`, 1), "each address once"),
		Entry("frames too small for a payload", strings.Replace(good, `"max_timeout"`, `"max_payload": 1000000, "max_timeout"`, 1)[:2]+`"peers": {"max_frame": 65536}, `+strings.Replace(good, `"max_timeout"`, `"max_payload": 1000000, "max_timeout"`, 1)[2:], "jobs.max_payload"),
	)

	DescribeTable("keeps commits within the writes that the store accepts", func(partitions uint32, writes float64, want time.Duration) {
		s := config.DefaultScheduler()
		s.Partitions, s.StoreWrites = partitions, writes
		gap := s.Core("nadi").CommitGap
		Expect(gap).To(BeNumerically("~", want, 10*time.Microsecond))
		if writes > 0 {
			Expect(float64(partitions) / gap.Seconds()).To(BeNumerically("<", writes))
		}
	},
		Entry("with few partitions", uint32(4), 1500.0, 10*time.Millisecond),
		Entry("with the default number of partitions", uint32(8), 800.0, 13333*time.Microsecond),
		Entry("with more partitions", uint32(12), 800.0, 20*time.Millisecond),
		Entry("without a limit on writes", uint32(12), 0.0, 10*time.Millisecond),
	)

	It("has a valid example for each role", func() {
		for _, r := range config.Roles() {
			file := filepath.Join("..", "examples", r.Name+".hujson")
			Expect(config.Load(file, r.Defaults())).To(Succeed(), file)
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(ContainSubstring("//"))
		}
	})
})
