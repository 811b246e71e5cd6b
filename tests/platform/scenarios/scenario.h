#ifndef FOXQUAY_TESTS_PLATFORM_SCENARIOS_SCENARIO_H_
#define FOXQUAY_TESTS_PLATFORM_SCENARIOS_SCENARIO_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "platform/soak/clients.h"
#include "platform/soak/cluster.h"
#include "platform/soak/fake_upstream.h"
#include "platform/soak/invariant_checker.h"

namespace foxquay::platform::scenarios {

/// Bound of the site files on the time in which hosts reach each other.
inline constexpr core::Duration kContactBound = std::chrono::seconds(3);

/// A cluster of real processes with fake model upstreams that restart after a
/// crash. Keeps the logs of its hosts if a check of the test case has failed.
/// Not thread-safe.
class Scenario {
 public:
  struct Options {
    /// Part of prompts on which every upstream crashes.
    std::string crashing_part;
    /// Part of a target at whose requests every upstream crashes.
    std::string crashing_target = {};
    std::size_t models = 10;  ///< Fake model upstreams.
    std::size_t apps = 0;     ///< Fake upstreams of the plain service.
    bool cuts_hosts = false;  ///< Hosts can be cut off from the upstreams.
    std::optional<soak::Machine> machine = {};  ///< Of each host.
  };

  /// A request that reached a fake upstream.
  struct Arrival {
    std::size_t upstream;  ///< Its index; plain ones follow the models.
    std::string id;        ///< Of the request.
    core::Instant at;
  };

  explicit Scenario(Options options);
  ~Scenario();
  Scenario(const Scenario&) = delete;
  Scenario& operator=(const Scenario&) = delete;

  /// Puts a configuration and waits until streams are served.
  void AwaitServing();
  /// Sends a stream with a prompt of these parts and one of its own to a random
  /// entry host.
  void SendStream(const std::string& parts);
  /// Sends a request to the plain service, on the route `read` or `book`, to an
  /// entry host; its id begins with the number of that host.
  void SendPlain(const std::string& route, std::size_t entry);
  /// As SendPlain, with another API key than the permanent one.
  void SendPlainWithKey(const std::string& route, std::size_t entry,
                        const std::string& key);
  /// As SendPlain, with a body of `bytes`.
  void SendLarge(const std::string& route, std::size_t entry,
                 std::size_t bytes);
  /// Sends a request with a target of its own, the same body and, for a stream,
  /// the same prompt each time, to a random entry host. Its id is new.
  void SendSame(soak::RequestKind kind, const std::string& target);
  /// Announces an upstream that the test implements, at an interval; `SEQ` in
  /// the body is replaced by a number that increases.
  void KeepAnnouncing(const std::string& id, const std::string& body);
  /// Returns a fake upstream; valid until it restarts.
  [[nodiscard]] soak::FakeUpstream& upstream(std::size_t index) {
    return *active_.at(index);
  }
  /// Returns the id under which a fake upstream announces itself.
  [[nodiscard]] const std::string& upstream_id(std::size_t index) const {
    return ids_.at(index);
  }
  /// Ends a fake upstream, which restarts under its former id.
  void Restart(std::size_t index);
  [[nodiscard]] const std::vector<Arrival>& arrivals() const {
    return arrivals_;
  }
  /// Calls `action` at an interval until StopRepeating.
  void Repeat(core::Duration interval, const std::function<void()>& action);
  void StopRepeating() { ++generation_; }
  void RunFor(core::Duration duration) { context_.run_for(duration); }
  /// Runs until a condition holds or the time has passed; returns the
  /// condition.
  bool RunUntil(const std::function<bool()>& condition, core::Duration timeout);

  /// Returns when each upstream crashed, oldest first.
  [[nodiscard]] const std::vector<core::Instant>& crashes() const {
    return crashes_;
  }
  /// Returns how many requests with the crashing part reached upstreams after
  /// `from`.
  [[nodiscard]] std::size_t ReachedAfter(core::Instant from) const;
  [[nodiscard]] unsigned served(
      soak::RequestKind kind = soak::RequestKind::kStream) const {
    return checker_.served(kind);
  }
  /// Requests that were sent to one entry host, and those of them that were
  /// answered with success.
  struct Tally {
    unsigned sent = 0;
    unsigned served = 0;
  };
  /// Returns the requests of an entry host since ResetTallies.
  [[nodiscard]] Tally tally(std::size_t entry) const {
    const auto found = tallies_.find(entry);
    return found == tallies_.end() ? Tally() : found->second;
  }
  void ResetTallies() {
    tallies_.clear();
    ++tally_generation_;
  }
  /// Returns the answers by status; 0 for those that broke off.
  [[nodiscard]] const std::map<unsigned, unsigned>& statuses() const {
    return statuses_;
  }
  /// Returns the status of each request that has ended; 0 if it broke off.
  [[nodiscard]] const std::map<std::string, unsigned>& answers() const {
    return answers_;
  }
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return checker_.violations();
  }
  [[nodiscard]] soak::Operator& config_operator() { return operator_; }
  [[nodiscard]] soak::Cluster& cluster() { return cluster_; }
  [[nodiscard]] boost::asio::io_context& context() { return context_; }

 private:
  /// Prints where the logs are, the answers and the arrivals.
  void PrintSummary() const;
  void StartUpstream(std::size_t index);
  /// Sends a request whose answer the checker knows to an entry host.
  void Send(const std::string& id, soak::RequestKind kind,
            const std::string& target, const std::string& parts,
            const std::string& key, std::size_t entry,
            const std::string& body = "");
  void Announce(const std::string& id, const std::string& body);
  soak::FakeUpstream* UpstreamAt(const std::string& address);
  /// Records crashes and restarts upstreams.
  void Supervise();
  void RepeatOnce(core::Duration interval, const std::function<void()>& action,
                  unsigned generation);

  boost::asio::io_context context_{1};
  std::mt19937_64 random_{20261204};
  const Options options_;
  soak::InvariantChecker checker_;
  soak::Cluster cluster_;
  soak::Operator operator_;
  soak::BufferingClient client_;
  std::vector<std::string> ports_;  ///< Of the upstreams.
  std::deque<soak::FakeUpstream> upstreams_;
  std::map<std::size_t, soak::FakeUpstream*> active_;
  std::set<std::size_t> restarting_;
  std::vector<core::Instant> crashes_;
  std::vector<core::Instant> reached_;
  std::vector<Arrival> arrivals_;
  std::map<std::size_t, std::string> ids_;  ///< Of the fake upstreams.
  std::map<unsigned, unsigned> statuses_;
  std::map<std::string, unsigned> answers_;  ///< By request.
  std::map<std::size_t, Tally> tallies_;     ///< By entry host.
  unsigned tally_generation_ = 0;            ///< Counts resets.
  std::uint64_t incarnations_ = 0;
  std::uint64_t heartbeats_ = 0;
  std::uint64_t next_id_ = 1;
  unsigned generation_ = 0;
};

}  // namespace foxquay::platform::scenarios

#endif  // FOXQUAY_TESTS_PLATFORM_SCENARIOS_SCENARIO_H_
