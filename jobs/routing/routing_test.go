package routing_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var _ = Describe("the queue of a request", func() {
	cfg := &routing.Configuration{Rules: []routing.Rule{
		{Host: "a.example", Prefix: "/one/", Queue: durable.Queue{Name: "one"}},
		{Host: "a.example", Prefix: "/one/two/", Queue: durable.Queue{Name: "two"}},
		{Host: "b.example", Prefix: "/one/", Queue: durable.Queue{Name: "other"}},
	}}

	DescribeTable("is that of the rule with the host and the longest prefix of the path", func(host, path, queue, rest string) {
		rule, actualRest := cfg.Lookup(host, path)
		if queue == "" {
			Expect(rule).To(BeNil())
			return
		}
		Expect(rule).NotTo(BeNil())
		Expect(rule.Queue.Name).To(Equal(queue))
		Expect(actualRest).To(Equal(rest))
	},
		Entry("one matching prefix", "a.example", "/one/5c0e", "one", "5c0e"),
		Entry("two matching prefixes", "a.example", "/one/two/5c0e", "two", "5c0e"),
		Entry("another host", "b.example", "/one/two/5c0e", "other", "two/5c0e"),
		Entry("a host with a port and capitals", "A.Example:8080", "/one/", "one", ""),
		Entry("no rule for the host", "c.example", "/one/", "", ""),
		Entry("no rule with a prefix of the path", "a.example", "/onetwo", "", ""),
	)
})
