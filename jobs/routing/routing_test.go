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

	DescribeTable("is that of the host and the longest prefix", func(host, path, queue, rest string) {
		rule, left := cfg.Lookup(host, path)
		if queue == "" {
			Expect(rule).To(BeNil())
			return
		}
		Expect(rule).NotTo(BeNil())
		Expect(rule.Queue.Name).To(Equal(queue))
		Expect(left).To(Equal(rest))
	},
		Entry("one prefix", "a.example", "/one/5c0e", "one", "5c0e"),
		Entry("a longer one", "a.example", "/one/two/5c0e", "two", "5c0e"),
		Entry("another host", "b.example", "/one/two/5c0e", "other", "two/5c0e"),
		Entry("a port, and capitals", "A.Example:8080", "/one/", "one", ""),
		Entry("no such host", "c.example", "/one/", "", ""),
		Entry("no such prefix", "a.example", "/onetwo", "", ""),
	)
})
